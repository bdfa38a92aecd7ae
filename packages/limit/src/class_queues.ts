/**
 * Queued jobs by class and tenant. A task that cannot be placed blocks only its
 * own class, and only after several refusals.
 */
import type { FairShare, TenantState } from "./fair_share.ts";
import { createHeap, type Heap } from "./heap.ts";
import type { JobRanks } from "./job_ranks.ts";
import type { TaskGroup } from "./task_groups.ts";

/** Refused jobs of a class after which a drain skips the class. */
const MAX_CLASS_REFUSALS = 8;

/** Refused jobs of a sub-queue after which a drain skips the sub-queue. */
const MAX_SUB_QUEUE_REFUSALS = 2;

/** The queued jobs of one tenant and class. */
export interface SubQueue {
  readonly tenantState: TenantState;
  readonly groups: Heap<TaskGroup>;
  /**
   * Number of the current heap entry of this sub-queue; entries with other
   * numbers are stale. 0 while the tenant is suspended.
   */
  entry: number;
  refusals: number;
}

interface HeapEntry {
  readonly subQueue: SubQueue;
  readonly number: number;
}

interface ClassQueue {
  /** Sub-queues of tenants not suspended, by the rank of their first job. */
  readonly subQueues: Heap<HeapEntry>;
  refusals: number;
}

/** The job that is next to be placed. */
export interface NextJob {
  readonly subQueue: SubQueue;
  readonly group: TaskGroup;
  readonly classQueue: ClassQueue;
}

export interface ClassQueuesOptions {
  readonly ranks: JobRanks;
  readonly fairShare: Pick<FairShare, "stateOf" | "isWithinQuota">;
}

export interface ClassQueues {
  enqueueGroup(group: TaskGroup): void;
  /** Adds a sub-queue to its class under the rank of its first job. */
  enqueueSubQueue(subQueue: SubQueue): void;
  /** Takes the sub-queue of the next job, which must be enqueued again. */
  takeNext(nowMs: number): NextJob | undefined;
  placed(next: NextJob): void;
  /** The job is skipped until `restoreRefused` is called. */
  refused(next: NextJob): void;
  hasRefused(): boolean;
  restoreRefused(): void;
}

export function createClassQueues(
  { ranks, fairShare }: ClassQueuesOptions,
): ClassQueues {
  const { rankOf } = ranks;
  const classes = new Map<string, ClassQueue>();
  const refusedGroups: TaskGroup[] = [];
  const refusedSubQueues: SubQueue[] = [];
  let lastEntryNumber = 0;

  function classQueueOf(className: string): ClassQueue {
    const existing = classes.get(className);
    if (existing !== undefined) return existing;
    const classQueue: ClassQueue = { subQueues: createHeap(), refusals: 0 };
    classes.set(className, classQueue);
    return classQueue;
  }

  function subQueueOf({ tenant, class: className }: TaskGroup): SubQueue {
    const tenantState = fairShare.stateOf(tenant);
    const existing = tenantState.subQueues.get(className);
    if (existing !== undefined) return existing;
    const subQueue: SubQueue = {
      tenantState,
      groups: createHeap(),
      entry: 0,
      refusals: 0,
    };
    tenantState.subQueues.set(className, subQueue);
    return subQueue;
  }

  /** Returns the first job of a sub-queue, after dropping removed ones. */
  function headOf(subQueue: SubQueue): TaskGroup | undefined {
    while (subQueue.groups.peek()?.removed) subQueue.groups.pop();
    return subQueue.groups.peek();
  }

  function enqueueSubQueue(subQueue: SubQueue): void {
    const head = headOf(subQueue);
    if (head === undefined || subQueue.tenantState.isSuspended) return;
    lastEntryNumber += 1;
    subQueue.entry = lastEntryNumber;
    classQueueOf(head.class).subQueues.push(rankOf(head), {
      subQueue,
      number: subQueue.entry,
    });
  }

  function removeStaleEntries(subQueues: Heap<HeapEntry>): void {
    let top = subQueues.peek();
    while (top !== undefined && top.subQueue.entry !== top.number) {
      subQueues.pop();
      top = subQueues.peek();
    }
  }

  /** The class whose first job has the lowest rank, without skipped classes. */
  function nextClass(): ClassQueue | undefined {
    let best: ClassQueue | undefined;
    for (const classQueue of classes.values()) {
      if (classQueue.refusals >= MAX_CLASS_REFUSALS) continue;
      const { subQueues } = classQueue;
      removeStaleEntries(subQueues);
      if (subQueues.size() === 0) continue;
      const lowest = best?.subQueues.lowestRank() ?? Infinity;
      if (subQueues.lowestRank() < lowest) best = classQueue;
    }
    return best;
  }

  function enqueueUnlessSkipped(subQueue: SubQueue): void {
    if (subQueue.refusals < MAX_SUB_QUEUE_REFUSALS) enqueueSubQueue(subQueue);
  }

  return {
    enqueueGroup(group) {
      const subQueue = subQueueOf(group);
      subQueue.groups.push(rankOf(group), group);
      if (headOf(subQueue) === group) enqueueSubQueue(subQueue);
    },
    enqueueSubQueue,
    takeNext(nowMs) {
      let classQueue = nextClass();
      while (classQueue !== undefined) {
        const rank = classQueue.subQueues.lowestRank();
        const { subQueue } = classQueue.subQueues.pop()!;
        const group = headOf(subQueue);
        const isDue = group !== undefined && rankOf(group) <= rank;
        if (isDue && fairShare.isWithinQuota(subQueue.tenantState, nowMs)) {
          return { subQueue, group, classQueue };
        }
        enqueueSubQueue(subQueue);
        classQueue = nextClass();
      }
      return undefined;
    },
    placed: ({ subQueue }) => enqueueUnlessSkipped(subQueue),
    refused({ subQueue, group, classQueue }) {
      classQueue.refusals += 1;
      if (subQueue.refusals === 0) refusedSubQueues.push(subQueue);
      subQueue.refusals += 1;
      subQueue.groups.pop();
      refusedGroups.push(group);
      enqueueUnlessSkipped(subQueue);
    },
    hasRefused: () => refusedGroups.length > 0,
    restoreRefused() {
      for (const group of refusedGroups) {
        if (!group.removed) subQueueOf(group).groups.push(rankOf(group), group);
      }
      for (const subQueue of refusedSubQueues) {
        subQueue.refusals = 0;
        enqueueSubQueue(subQueue);
      }
      refusedGroups.length = 0;
      refusedSubQueues.length = 0;
      for (const [name, classQueue] of classes) {
        classQueue.refusals = 0;
        if (classQueue.subQueues.size() === 0) classes.delete(name);
      }
    },
  };
}
