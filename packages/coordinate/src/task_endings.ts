/**
 * Ends tasks that have waited or run for too long, or whose side is gone.
 */
import type { JobRecord } from "@coltsfootreach/admit";
import type { AnswerDesk } from "./answer_desk.ts";
import type { EntryContext } from "./context.ts";
import type { SideState } from "./sides.ts";

export interface TaskEndings {
  /** Notes whether tasks of a record may have run without its knowledge. */
  noteGap(record: JobRecord, nowMs: number): void;
  /** Ends the tasks of a side whose word will never come. */
  endTasksOn(side: SideState, nowMs: number): void;
  /** Ends what has waited or run for too long. */
  expire(nowMs: number): void;
}

export function createTaskEndings(
  context: EntryContext,
  answers: AnswerDesk,
): TaskEndings {
  const { options, records, sides, settlement } = context;
  const { queue } = options;
  const { settle } = answers;

  /** Ends the tasks of a side whose word will never come. */
  function endTasksOn(side: SideState, nowMs: number): void {
    const incarnation = side.identity.incarnation;
    for (const record of [...records.open()]) {
      record.tasks.forEach((task, index) => {
        if (task.kind !== "sent" || task.side !== incarnation) return;
        const answer = records.end(record, {
          index,
          state: "failed",
          verdict: "mayHaveRun",
          reason: "the side that was sent this task is gone",
          server: side.announcement?.server,
        }, nowMs);
        if (answer !== undefined) settle(record, answer, nowMs);
      });
    }
  }

  function expire(nowMs: number): void {
    for (const { record, kind } of records.expire(nowMs)) {
      if (kind === "overdue") {
        endOverdue(record, nowMs);
        continue;
      }
      // What has not started can be told only when all evidence is there.
      if (!settlement.isSettled(record.id)) continue;
      queue.removeJob(record.id);
      noteGap(record, nowMs);
      const reason = kind === "deadline"
        ? "the deadline passed before a slot was free"
        : "the job ended with its entry, or nobody resubmitted it";
      const answer = records.endWaiting(record, reason, nowMs);
      if (answer !== undefined) settle(record, answer, nowMs);
      else endUnheard(record, nowMs);
    }
  }

  /** Ends what was sent to runs of sides that are over for every entry. */
  function endUnheard(record: JobRecord, nowMs: number): void {
    record.tasks.forEach((task, index) => {
      if (task.kind !== "sent" || sides.find(task.side) !== undefined) return;
      if (settlement.registry.isKnown(task.side)) return;
      const answer = records.end(record, {
        index,
        state: "failed",
        verdict: "mayHaveRun",
        reason: "the side that was sent this task is gone",
      }, nowMs);
      if (answer !== undefined) settle(record, answer, nowMs);
    });
  }

  /**
   * An entry whose lease may have lapsed may have a successor that starts its
   * tasks. Of a job known by evidence alone, sides that are gone may know more.
   */
  function noteGap(record: JobRecord, nowMs: number): void {
    const isOrphan = record.job === undefined;
    record.hasGaps ||= nowMs > context.membership.certainUntilMs ||
      isOrphan && settlement.isInGap(record.id, undefined);
  }

  function endOverdue(record: JobRecord, nowMs: number): void {
    record.tasks.forEach((task, index) => {
      if (task.kind === "ended") return;
      const answer = records.end(record, {
        index,
        state: "failed",
        verdict: "mayHaveRun",
        reason: "no word of this task came long after the deadline",
      }, nowMs);
      if (answer !== undefined) settle(record, answer, nowMs);
    });
  }

  return { noteGap, endTasksOn, expire };
}
