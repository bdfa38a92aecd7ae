/**
 * The queue of tasks that wait in an entry for a slot. Its length is bounded
 * per tenant and in total, and it selects the next task to place.
 */
import type { JobId } from "@coltsfootreach/types";

/** A task that waits for a slot. */
export interface QueuedTask {
  readonly job: JobId;
  readonly index: number;
  readonly tenant: string;
  readonly class: string;
  /** Deadline of the job on the entry's clock. */
  readonly deadlineAtMs: number;
  readonly declaredMs: number;
}

export interface Queue {
  /** Enqueues tasks of one job. */
  push(tasks: readonly QueuedTask[]): void;
  /** Returns a task that was not run to the front of its tenant's queue. */
  requeue(task: QueuedTask): void;
  /**
   * Offers tasks in order until `tryPlace` has refused a task from every
   * eligible sub-queue or the queue is empty. A placed task leaves the queue.
   */
  drain(tryPlace: (task: QueuedTask) => boolean, nowMs: number): void;
  /** Removes and returns all tasks of a job. */
  removeJob(job: JobId): readonly QueuedTask[];
  /** Removes and returns the tasks whose deadline has passed. */
  removeExpired(nowMs: number): readonly QueuedTask[];
  /** Number of queued tasks, of one tenant or of all. */
  size(tenant?: string): number;
}
