/**
 * Jobs whose answer says that a task was not run, while a side takes note that
 * they have ended. Without that note a copy of the submission that is still on
 * its way could start the task with the next owner, if this entry is lost.
 */
import type { JobRecord } from "@coltsfootreach/admit";
import type { Answer, JobId } from "@coltsfootreach/types";

/** How long a side may take to note the end before the answer goes out. */
const SEAL_TIMEOUT_MS = 1000;

export interface Sealed {
  readonly record: JobRecord;
  readonly answer: Answer;
}

export interface Seals {
  add(sealed: Sealed, nowMs: number): void;
  has(job: JobId): boolean;
  /** Takes out a job that a side has noted. */
  take(job: JobId): Sealed | undefined;
  /** Takes out the jobs that have waited for too long. */
  takeOverdue(nowMs: number): readonly Sealed[];
}

interface Pending extends Sealed {
  readonly sinceMs: number;
}

export function createSeals(): Seals {
  // Insertion order is age order.
  const pending = new Map<JobId, Pending>();
  return {
    add(sealed, nowMs) {
      pending.set(sealed.record.id, { ...sealed, sinceMs: nowMs });
    },
    has: (job) => pending.has(job),
    take(job) {
      const found = pending.get(job);
      pending.delete(job);
      return found;
    },
    takeOverdue(nowMs) {
      const overdue: Sealed[] = [];
      for (const [job, sealed] of pending) {
        if (nowMs - sealed.sinceMs < SEAL_TIMEOUT_MS) break;
        pending.delete(job);
        overdue.push(sealed);
      }
      return overdue;
    },
  };
}
