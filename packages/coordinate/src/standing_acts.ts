/**
 * Acts that stand until something undoes them: a server or an entry that is
 * away until it returns, a tenant whose jobs are refused until that ends.
 */
import type { ActionKind, Measurements } from "@coltsfootreach/types";
import type { ActDescription } from "./context.ts";
import type { UndoneAct } from "./effect.ts";

export interface StandingActs {
  /** Records an act unless the same stands already. */
  begin(act: ActDescription): void;
  /** Marks an act as undone, with figures that came since; if it stands. */
  end(kind: ActionKind, subject: string, figures?: Measurements): void;
}

export interface Journaling {
  act(act: ActDescription): void;
  undone(act: UndoneAct): void;
}

export function createStandingActs(journaling: Journaling): StandingActs {
  const standing = new Set<string>();

  return {
    begin(act) {
      const name = nameOf(act.kind, act.subject);
      if (standing.has(name)) return;
      standing.add(name);
      journaling.act(act);
    },
    end(kind, subject, figures = {}) {
      if (!standing.delete(nameOf(kind, subject))) return;
      journaling.undone({ kind, subject, figures });
    },
  };
}

function nameOf(kind: ActionKind, subject: string): string {
  return `${kind} ${subject}`;
}
