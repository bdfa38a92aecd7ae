/** Puts the core's automatic acts into the journal and the log. */
import type { EntryEffect, NewAct } from "@coltsfootreach/coordinate";
import type { Log } from "@coltsfootreach/log";
import type { ActionJournal } from "@coltsfootreach/manage";

export interface ActLog {
  record(act: NewAct, log: Log): void;
  undo(undone: Extract<EntryEffect, { kind: "actUndone" }>): void;
}

export function createActLog(journal: ActionJournal): ActLog {
  return {
    record(act, log) {
      if (act.kind === "readmit") {
        const ejection = journal.findActive("eject", act.subject);
        if (ejection !== undefined) journal.markUndone(ejection.id, act);
      }
      const { id } = journal.record(act);
      log.warn("automatic act", {
        act: `${act.kind} ${act.subject} ${id}`,
        reason: act.why,
        figures: act.figures,
        configurationVersion: act.configurationVersion,
      });
    },
    undo({ act, atMs }) {
      const { kind, subject, figures } = act;
      const standing = journal.findActive(kind, subject);
      if (standing) journal.markUndone(standing.id, { atMs, figures });
    },
  };
}
