/** The queued tasks of each job. */
import type { JobId } from "@coltsfootreach/types";
import { createHeap } from "./heap.ts";
import type { QueuedTask } from "./queue.ts";

/** Removed jobs kept in the deadline heap before the heap is rebuilt. */
const MAX_STALE_GROUPS = 1_024;

/** A task and the expected slot time charged for it. */
export interface CostedTask {
  readonly task: QueuedTask;
  readonly costMs: number;
}

/** The queued tasks of one job, shortest first. */
export interface TaskGroup {
  readonly job: JobId;
  readonly tenant: string;
  readonly class: string;
  readonly deadlineAtMs: number;
  readonly sequence: number;
  readonly pushedAtMs: number;
  readonly tasks: CostedTask[];
  /** Total expected slot time of the queued tasks. */
  workMs: number;
  /** The rank under which its work is recorded in the backlog. */
  backlogRank: number;
  /** Set when a task was requeued; the job is then placed before all others. */
  isRequeued: boolean;
  removed: boolean;
}

export interface TaskGroups {
  find(job: JobId): TaskGroup | undefined;
  create(task: QueuedTask, nowMs: number): TaskGroup;
  remove(group: TaskGroup): void;
  /** Takes a group whose deadline has passed; it may have been removed. */
  takeExpired(nowMs: number): TaskGroup | undefined;
  /** Sequence number of the next group. */
  nextSequence(): number;
}

export function createTaskGroups(): TaskGroups {
  const groups = new Map<JobId, TaskGroup>();
  let byDeadline = createHeap<TaskGroup>();
  let sequence = 0;

  /** Drops the removed groups once they outnumber the others. */
  function rebuildIfStale(): void {
    if (byDeadline.size() <= 2 * groups.size + MAX_STALE_GROUPS) return;
    byDeadline = createHeap();
    for (const remaining of groups.values()) {
      byDeadline.push(remaining.deadlineAtMs, remaining);
    }
  }

  return {
    find: (job) => groups.get(job),
    create(task, nowMs) {
      const group: TaskGroup = {
        job: task.job,
        tenant: task.tenant,
        class: task.class,
        deadlineAtMs: task.deadlineAtMs,
        sequence,
        pushedAtMs: nowMs,
        tasks: [],
        workMs: 0,
        backlogRank: 0,
        isRequeued: false,
        removed: false,
      };
      sequence += 1;
      groups.set(task.job, group);
      byDeadline.push(group.deadlineAtMs, group);
      return group;
    },
    remove(group) {
      group.removed = true;
      groups.delete(group.job);
      rebuildIfStale();
    },
    takeExpired: (nowMs) =>
      byDeadline.lowestRank() <= nowMs ? byDeadline.pop() : undefined,
    nextSequence: () => sequence,
  };
}
