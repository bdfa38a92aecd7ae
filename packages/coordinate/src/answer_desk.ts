/**
 * The ends of jobs: who waits for an answer gets it, once a side has noted the
 * end if the answer says that some task was not run.
 */
import type { JobRecord } from "@coltsfootreach/admit";
import type { Answer, JobId } from "@coltsfootreach/types";
import type { EntryContext } from "./context.ts";
import { createSeals } from "./seals.ts";
import type { SideState } from "./sides.ts";

export interface AnswerDesk {
  /** Answers everyone who waits for a job that has ended. */
  settle(record: JobRecord, answer: Answer, nowMs: number): void;
  /** The answer of a job, once it may be given. */
  answerOf(record: JobRecord): Answer | undefined;
  /** A side has noted the end of a job. */
  takeSealed(job: JobId): void;
  /** Answers what no side has noted in time. */
  expire(nowMs: number): void;
}

export function createAnswerDesk(context: EntryContext): AnswerDesk {
  const { sides, waiters, toSide, reply } = context;
  const seals = createSeals();

  function settle(record: JobRecord, answer: Answer, nowMs: number): void {
    const hasNotRun = answer.outcomes.some((one) => one.verdict === "notRun");
    const side = hasNotRun ? findNotary(record) : undefined;
    if (side === undefined) {
      announce(record, answer);
      return;
    }
    seals.add({ record, answer }, nowMs);
    const of = record.tasks.length;
    toSide(side, { kind: "sealJob", job: record.id, of });
  }

  /** A connected side, if possible one that ran some of the job. */
  function findNotary(record: JobRecord): string | undefined {
    for (const side of record.sides) {
      if (isUsable(sides.find(side))) return side;
    }
    for (const side of sides.all()) {
      if (isUsable(side)) return side.identity.incarnation;
    }
    return undefined;
  }

  function takeSealed(job: JobId): void {
    const sealed = seals.take(job);
    if (sealed !== undefined) announce(sealed.record, sealed.answer);
  }

  /** Tells everyone who waits for a job that it has ended. */
  function announce(record: JobRecord, answer: Answer): void {
    for (const origin of waiters.take(record.id)) {
      reply(origin, { kind: "answered", answer });
    }
    for (const side of record.sides) {
      toSide(side, { kind: "closeJob", job: record.id }, true);
    }
  }

  return {
    settle,
    answerOf: (record) => seals.has(record.id) ? undefined : record.answer,
    takeSealed,
    expire(nowMs) {
      for (const { record, answer } of seals.takeOverdue(nowMs)) {
        announce(record, answer);
      }
    },
  };
}

function isUsable(side: SideState | undefined): boolean {
  return side !== undefined && side.connected && !side.lost && !side.draining;
}
