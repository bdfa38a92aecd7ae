/**
 * The task queue of an entry, with weighted fair queueing between tenants. Among
 * the tenants that are not suspended, the job of lowest rank is placed first, so
 * that small jobs overtake large jobs of any tenant.
 */
import type { JobId } from "@coltsfootreach/types";
import { createClassQueues } from "./class_queues.ts";
import { createFairShare, type FairShareOptions } from "./fair_share.ts";
import {
  createJobRanks,
  type JobOrder,
  type ProspectiveJob,
} from "./job_ranks.ts";
import type { Queue, QueuedTask } from "./queue.ts";
import {
  type CostedTask,
  createTaskGroups,
  type TaskGroup,
} from "./task_groups.ts";

export interface TenantQueueOptions
  extends Pick<FairShareOptions, "weightOf" | "nextStartAtMs"> {
  /** Expected slot time of a task in milliseconds. */
  readonly costOf?: ((task: QueuedTask) => number) | undefined;
  /** Number of slots that serve this queue, used by the order `leastWork`. */
  readonly slots?: (() => number) | undefined;
  readonly order?: JobOrder | undefined;
  /** False when no side can accept a task, so that a drain can stop early. */
  readonly hasCapacity?: ((nowMs: number) => boolean) | undefined;
}

/** The state of the queue as seen by a job submitted now. */
export interface QueueForecast {
  /** Slot time of the tenant's own queued work that is ordered before the job. */
  readonly workAheadMs: number;
  /** The tenant's share of the slots among all tenants with queued tasks. */
  readonly share: number;
  /**
   * Recent slot time served per millisecond for the tenant, averaged with
   * `expectedRate`, which is the result until there are measurements.
   */
  serviceRate(expectedRate: number): number;
}

/** A queue that also provides the forecast for admission control. */
export interface TenantQueue extends Queue {
  forecast(prospect: ProspectiveJob, nowMs: number): QueueForecast;
}

const DEFAULT_SLOT_COUNT = 80;

type TryPlace = (task: QueuedTask) => boolean;

export function createTenantQueue(
  options: TenantQueueOptions = {},
): TenantQueue {
  const costOf = options.costOf ?? ((task: QueuedTask) => task.declaredMs);
  const groups = createTaskGroups();
  const ranks = createJobRanks({
    order: options.order ?? "leastWork",
    slots: options.slots ?? (() => DEFAULT_SLOT_COUNT),
    nextSequence: groups.nextSequence,
  });
  const fairShare = createFairShare({
    weightOf: options.weightOf,
    nextStartAtMs: options.nextStartAtMs,
    resumed(tenantState) {
      for (const subQueue of tenantState.subQueues.values()) {
        classQueues.enqueueSubQueue(subQueue);
      }
    },
  });
  const classQueues = createClassQueues({ ranks, fairShare });
  let latestMs = 0;

  function addTasks(group: TaskGroup, tasks: readonly QueuedTask[]): void {
    let workMs = 0;
    for (const task of tasks) {
      const costMs = costOf(task);
      group.tasks.push({ task, costMs });
      workMs += costMs;
    }
    const tenantState = fairShare.stateOf(group.tenant);
    fairShare.increaseSize(tenantState, {
      count: tasks.length,
      nowMs: latestMs,
    });
    const isNew = group.workMs === 0;
    group.workMs += workMs;
    if (isNew) group.backlogRank = ranks.baseRankOf(group);
    tenantState.backlog.addWork(group.backlogRank, workMs);
  }

  function recordPlacement(group: TaskGroup, { costMs }: CostedTask): void {
    const tenantState = fairShare.stateOf(group.tenant);
    group.workMs = Math.max(0, group.workMs - costMs);
    tenantState.backlog.removeWork(group.backlogRank, costMs, true);
    group.isRequeued = false;
    if (group.tasks.length === 0) groups.remove(group);
    fairShare.charge(tenantState, costMs);
    fairShare.decreaseSize(tenantState, 1);
    fairShare.suspendResumed();
  }

  /** Offers the longest task of a job and, if it is refused, the shortest. */
  function offerGroup(group: TaskGroup, tryPlace: TryPlace): boolean {
    const longest = group.tasks.at(-1)!;
    if (tryPlace(longest.task)) {
      group.tasks.pop();
      recordPlacement(group, longest);
      return true;
    }
    const shortest = group.tasks[0]!;
    if (shortest === longest || !tryPlace(shortest.task)) return false;
    group.tasks.shift();
    recordPlacement(group, shortest);
    return true;
  }

  /** Whether a drain may continue after its latest offer. */
  function canContinue(): boolean {
    if (!classQueues.hasRefused()) return true;
    return options.hasCapacity?.(latestMs) ?? true;
  }

  function removeJob(job: JobId): readonly QueuedTask[] {
    const group = groups.find(job);
    if (group === undefined) return [];
    groups.remove(group);
    const tenantState = fairShare.stateOf(group.tenant);
    tenantState.backlog.removeWork(group.backlogRank, group.workMs, false);
    fairShare.decreaseSize(tenantState, group.tasks.length);
    return group.tasks.map(({ task }) => task);
  }

  return {
    push(tasks) {
      const first = tasks[0];
      if (first === undefined) return;
      const existing = groups.find(first.job);
      const group = existing ?? groups.create(first, latestMs);
      const shortestFirst = [...tasks]
        .sort((a, b) => a.declaredMs - b.declaredMs || b.index - a.index);
      addTasks(group, shortestFirst);
      if (existing === undefined) classQueues.enqueueGroup(group);
    },

    requeue(task) {
      const existing = groups.find(task.job);
      const group = existing ?? groups.create(task, latestMs);
      group.isRequeued = true;
      addTasks(group, [task]);
      fairShare.charge(fairShare.stateOf(task.tenant), -costOf(task));
      classQueues.enqueueGroup(group);
    },

    drain(tryPlace, nowMs) {
      latestMs = Math.max(latestMs, nowMs);
      fairShare.resumeEligible(latestMs);
      let next = classQueues.takeNext(latestMs);
      while (next !== undefined || fairShare.resumeLeastAhead()) {
        if (next !== undefined) {
          const isPlaced = offerGroup(next.group, tryPlace);
          if (isPlaced) classQueues.placed(next);
          else classQueues.refused(next);
        }
        if (!canContinue()) break;
        next = classQueues.takeNext(latestMs);
      }
      classQueues.restoreRefused();
      fairShare.suspendResumed();
    },

    removeJob,

    forecast(prospect, nowMs) {
      latestMs = Math.max(latestMs, nowMs);
      const tenantState = fairShare.find(prospect.tenant);
      const rank = ranks.rankOfProspectiveJob(prospect, nowMs);
      return {
        workAheadMs: tenantState?.backlog.upTo(rank) ?? 0,
        share: fairShare.shareOf(prospect.tenant),
        serviceRate(expectedRate) {
          const isIdle = tenantState === undefined || tenantState.size === 0;
          if (isIdle) return expectedRate;
          return tenantState.backlog.serviceRate(expectedRate, nowMs);
        },
      };
    },

    removeExpired(nowMs) {
      const expired: QueuedTask[] = [];
      let group = groups.takeExpired(nowMs);
      while (group !== undefined) {
        if (!group.removed) expired.push(...removeJob(group.job));
        group = groups.takeExpired(nowMs);
      }
      return expired;
    },

    size(tenant) {
      return tenant === undefined
        ? fairShare.totalSize()
        : fairShare.find(tenant)?.size ?? 0;
    },
  };
}
