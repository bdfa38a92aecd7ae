/**
 * What waits in an entry for a slot. The queue is bounded per tenant and in
 * total, and decides whose task is next.
 */
import type { JobId } from "@coltsfootreach/types";

/** One task that waits for a slot. */
export interface Waiting {
  readonly job: JobId;
  readonly index: number;
  readonly tenant: string;
  readonly class: string;
  /** When the job's deadline passes, on the entry's clock. */
  readonly deadlineAtMs: number;
  readonly declaredMs: number;
}

export interface Queue {
  /** Puts tasks of one job in line. */
  push(tasks: readonly Waiting[]): void;
  /** Puts a task that was not run back to the head of its tenant's line. */
  putBack(task: Waiting): void;
  /**
   * Offers tasks in turn until `place` has refused one from every line that
   * could go on, or nothing waits. A placed task leaves the queue.
   */
  drain(place: (task: Waiting) => boolean, nowMs: number): void;
  /** Takes out every task of a job. */
  removeJob(job: JobId): readonly Waiting[];
  /** Takes out the tasks whose deadline has passed. */
  removeExpired(nowMs: number): readonly Waiting[];
  /** Tasks waiting, of one tenant or of all. */
  size(tenant?: string): number;
}
