/**
 * The task queue of an entry, with weighted fair queueing between tenants. A
 * tenant whose weighted service exceeds the virtual time by more than a bounded
 * lead is suspended. Among the other tenants, the job of lowest rank is placed
 * first, so that small jobs overtake large jobs of any tenant. A task that
 * cannot be placed blocks only its own class, and only after several refusals.
 */
import type { JobId } from "@coltsfootreach/types";
import { type Backlog, createBacklog } from "./backlog.ts";
import { createHeap, type Heap } from "./heap.ts";
import type { Queue, QueuedTask } from "./queue.ts";

/**
 * The order in which jobs are placed:
 * - `arrival`: first in, first out.
 * - `deadline`: earliest deadline first.
 * - `leastWork`: least remaining work first, with aging in favour of older jobs
 *   to prevent starvation.
 */
export type JobOrder = "arrival" | "deadline" | "leastWork";

export interface TenantQueueOptions {
  /** Scheduling weight of a tenant; defaults to 1. */
  readonly weightOf?: ((tenant: string) => number) | undefined;
  /** Expected slot time of a task in milliseconds. */
  readonly costOf?: ((task: QueuedTask) => number) | undefined;
  /** Number of slots that serve this queue, used by the order `leastWork`. */
  readonly slots?: (() => number) | undefined;
  readonly order?: JobOrder | undefined;
  /** False when no side can accept a task, so that a drain can stop early. */
  readonly hasCapacity?: ((nowMs: number) => boolean) | undefined;
  /** Earliest start time of the tenant's next task; at most `nowMs` means now. */
  readonly nextStartAtMs?:
    | ((tenant: string, nowMs: number) => number)
    | undefined;
}

/** A job that has not been submitted to the queue yet. */
export interface ProspectiveJob {
  readonly tenant: string;
  /** Total expected slot time of its tasks. */
  readonly workMs: number;
  readonly deadlineMs: number;
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

/** Slot time by which a tenant of weight 1 may exceed its fair share. */
const MAX_LEAD_MS = 4_000;

/** Lower bound applied to the weight of every tenant. */
const MIN_WEIGHT = 0.01;

/** Refused jobs of a class after which a drain skips the class. */
const MAX_CLASS_REFUSALS = 8;

/** Refused jobs of a sub-queue after which a drain skips the sub-queue. */
const MAX_SUB_QUEUE_REFUSALS = 2;

/** Maximum number of suspended tenants resumed at once for spare capacity. */
const MAX_RESUMED_AHEAD = 8;

/** Rank delay of a job per millisecond of its work divided by the slots. */
const RANK_DELAY_FACTOR = 50;

/** Maximum rank delay of a job, as a share of its time to the deadline. */
const MAX_RANK_DELAY_SHARE = 0.5;

const DEFAULT_SLOT_COUNT = 80;

/** Removed jobs kept in the deadline heap before the heap is rebuilt. */
const MAX_STALE_GROUPS = 1_024;

type TryPlace = (task: QueuedTask) => boolean;

/** A task and the expected slot time charged for it. */
interface CostedTask {
  readonly task: QueuedTask;
  readonly costMs: number;
}

/** The queued tasks of one job, shortest first. */
interface TaskGroup {
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

/** The queued jobs of one tenant and class. */
interface SubQueue {
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
  readonly lines: Heap<HeapEntry>;
  refusals: number;
}

interface TenantState {
  readonly tenant: string;
  readonly lines: Map<string, SubQueue>;
  size: number;
  /** Contribution to the active weight; 0 while the tenant has no tasks. */
  weight: number;
  /** Slot time divided by the weight, comparable with the virtual time. */
  servedMs: number;
  isSuspended: boolean;
  readonly backlog: Backlog;
}

interface Offer {
  readonly subQueue: SubQueue;
  readonly group: TaskGroup;
  readonly classQueue: ClassQueue;
}

export function createTenantQueue(
  options: TenantQueueOptions = {},
): TenantQueue {
  const costOf = options.costOf ?? ((task: QueuedTask) => task.declaredMs);
  const slots = options.slots ?? (() => DEFAULT_SLOT_COUNT);
  const order = options.order ?? "leastWork";
  const tenantStates = new Map<string, TenantState>();
  const groups = new Map<JobId, TaskGroup>();
  const classes = new Map<string, ClassQueue>();
  /** Tenants ahead of their fair share, by weighted slot time. */
  const suspended = createHeap<TenantState>();
  /** Tenants with an exhausted quota, by the time of their next start. */
  const overQuota = createHeap<TenantState>();
  const refusedGroups: TaskGroup[] = [];
  const refusedSubQueues: SubQueue[] = [];
  const resumedAhead: TenantState[] = [];
  let byDeadline = createHeap<TaskGroup>();
  let virtualMs = 0;
  let activeWeight = 0;
  let totalSize = 0;
  let sequence = 0;
  let lastEntryNumber = 0;
  let latestMs = 0;

  function weightOf(tenant: string): number {
    return Math.max(MIN_WEIGHT, options.weightOf?.(tenant) ?? 1);
  }

  /** Replaces the tenant's contribution to the sum of active weights. */
  function updateActiveWeight(tenantState: TenantState, weight: number): void {
    activeWeight = Math.max(0, activeWeight + weight - tenantState.weight);
    tenantState.weight = weight;
  }

  /** Delay added to the arrival time of a job to compute its rank. */
  function rankDelayMs(workMs: number, deadlineMs: number): number {
    const shareMs = workMs / Math.max(1, slots());
    return Math.min(
      MAX_RANK_DELAY_SHARE * deadlineMs,
      RANK_DELAY_FACTOR * shareMs,
    );
  }

  function baseRankOf(group: TaskGroup): number {
    if (order === "arrival") return group.sequence;
    if (order === "deadline") return group.deadlineAtMs;
    const deadlineMs = group.deadlineAtMs - group.pushedAtMs;
    return group.pushedAtMs + rankDelayMs(group.workMs, deadlineMs);
  }

  /** The rank that a job would have if it were submitted now. */
  function rankOfProspectiveJob(
    { workMs, deadlineMs }: ProspectiveJob,
    nowMs: number,
  ): number {
    if (order === "arrival") return sequence;
    if (order === "deadline") return nowMs + deadlineMs;
    return nowMs + rankDelayMs(workMs, deadlineMs);
  }

  function rankOf(group: TaskGroup): number {
    return group.isRequeued ? -1 : baseRankOf(group);
  }

  function tenantStateOf(tenant: string): TenantState {
    let tenantState = tenantStates.get(tenant);
    if (tenantState === undefined) {
      tenantState = {
        tenant,
        lines: new Map(),
        size: 0,
        weight: 0,
        servedMs: 0,
        isSuspended: false,
        backlog: createBacklog(),
      };
      tenantStates.set(tenant, tenantState);
    }
    return tenantState;
  }

  function classQueueOf(className: string): ClassQueue {
    let classQueue = classes.get(className);
    if (classQueue === undefined) {
      classQueue = { lines: createHeap(), refusals: 0 };
      classes.set(className, classQueue);
    }
    return classQueue;
  }

  function subQueueOf(tenantState: TenantState, className: string): SubQueue {
    let subQueue = tenantState.lines.get(className);
    if (subQueue === undefined) {
      subQueue = {
        tenantState,
        groups: createHeap(),
        entry: 0,
        refusals: 0,
      };
      tenantState.lines.set(className, subQueue);
    }
    return subQueue;
  }

  /** Returns the first job of a sub-queue, after dropping removed ones. */
  function headOf(subQueue: SubQueue): TaskGroup | undefined {
    while (subQueue.groups.peek()?.removed) subQueue.groups.pop();
    return subQueue.groups.peek();
  }

  /** Adds a sub-queue to its class under the rank of its first job. */
  function enqueueSubQueue(subQueue: SubQueue): void {
    const head = headOf(subQueue);
    if (head === undefined || subQueue.tenantState.isSuspended) return;
    subQueue.entry = ++lastEntryNumber;
    classQueueOf(head.class).lines.push(rankOf(head), {
      subQueue,
      number: subQueue.entry,
    });
  }

  function enqueueGroup(group: TaskGroup): void {
    const subQueue = subQueueOf(tenantStateOf(group.tenant), group.class);
    subQueue.groups.push(rankOf(group), group);
    if (headOf(subQueue) === group) enqueueSubQueue(subQueue);
  }

  function createGroup(task: QueuedTask): TaskGroup {
    const group: TaskGroup = {
      job: task.job,
      tenant: task.tenant,
      class: task.class,
      deadlineAtMs: task.deadlineAtMs,
      sequence: sequence++,
      pushedAtMs: latestMs,
      tasks: [],
      workMs: 0,
      backlogRank: 0,
      isRequeued: false,
      removed: false,
    };
    groups.set(task.job, group);
    byDeadline.push(group.deadlineAtMs, group);
    return group;
  }

  function removeGroup(group: TaskGroup): void {
    group.removed = true;
    groups.delete(group.job);
    if (byDeadline.size() <= 2 * groups.size + MAX_STALE_GROUPS) return;
    byDeadline = createHeap();
    for (const remaining of groups.values()) {
      byDeadline.push(remaining.deadlineAtMs, remaining);
    }
  }

  function increaseSize(tenantState: TenantState, count: number): void {
    if (tenantState.size === 0) {
      updateActiveWeight(tenantState, weightOf(tenantState.tenant));
      tenantState.servedMs = Math.max(tenantState.servedMs, virtualMs);
      tenantState.backlog.resetServiceRate(latestMs);
    }
    tenantState.size += count;
    totalSize += count;
  }

  function decreaseSize(tenantState: TenantState, count: number): void {
    tenantState.size -= count;
    totalSize -= count;
    if (tenantState.size > 0) return;
    updateActiveWeight(tenantState, 0);
    if (tenantState.servedMs <= virtualMs) {
      tenantStates.delete(tenantState.tenant);
    }
  }

  function addTasks(group: TaskGroup, tasks: readonly QueuedTask[]): void {
    let workMs = 0;
    for (const task of tasks) {
      const costMs = costOf(task);
      group.tasks.push({ task, costMs });
      workMs += costMs;
    }
    const tenantState = tenantStateOf(group.tenant);
    increaseSize(tenantState, tasks.length);
    const isNew = group.workMs === 0;
    group.workMs += workMs;
    if (isNew) group.backlogRank = baseRankOf(group);
    tenantState.backlog.addWork(group.backlogRank, workMs);
  }

  function charge(tenantState: TenantState, costMs: number): void {
    if (tenantState.size > 0) {
      updateActiveWeight(tenantState, weightOf(tenantState.tenant));
    }
    tenantState.servedMs += costMs / weightOf(tenantState.tenant);
    virtualMs += costMs / Math.max(MIN_WEIGHT, activeWeight);
    suspendIfAhead(tenantState);
  }

  /** Suspends a tenant whose lead exceeds the limit. */
  function suspendIfAhead(tenantState: TenantState): void {
    if (
      tenantState.isSuspended || tenantState.servedMs <= virtualMs + MAX_LEAD_MS
    ) return;
    suspend(tenantState, suspended, tenantState.servedMs);
  }

  function suspend(
    tenantState: TenantState,
    heap: Heap<TenantState>,
    rank: number,
  ): void {
    tenantState.isSuspended = true;
    for (const subQueue of tenantState.lines.values()) subQueue.entry = 0;
    heap.push(rank, tenantState);
  }

  function resume(tenantState: TenantState): void {
    tenantState.isSuspended = false;
    for (const subQueue of tenantState.lines.values()) {
      enqueueSubQueue(subQueue);
    }
  }

  function resumeEligible(): void {
    while (overQuota.lowestRank() <= latestMs) resume(overQuota.pop()!);
    while (suspended.lowestRank() <= virtualMs + MAX_LEAD_MS) {
      resume(suspended.pop()!);
    }
  }

  /** Whether the quota allows a start now; suspends the tenant if not. */
  function isWithinQuota(tenantState: TenantState): boolean {
    const nextStartAtMs =
      options.nextStartAtMs?.(tenantState.tenant, latestMs) ?? 0;
    if (nextStartAtMs <= latestMs) return true;
    suspend(tenantState, overQuota, nextStartAtMs);
    return false;
  }

  /**
   * Resumes the suspended tenant with the smallest lead, to compete for spare
   * capacity. It is suspended again as soon as a task is placed.
   */
  function resumeLeastAhead(): boolean {
    if (suspended.size() === 0 || resumedAhead.length >= MAX_RESUMED_AHEAD) {
      return false;
    }
    const tenantState = suspended.pop()!;
    resumedAhead.push(tenantState);
    resume(tenantState);
    return true;
  }

  function suspendResumed(): void {
    for (const tenantState of resumedAhead) suspendIfAhead(tenantState);
    resumedAhead.length = 0;
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
      removeStaleEntries(classQueue.lines);
      if (classQueue.lines.size() === 0) continue;
      const lowest = best?.lines.lowestRank() ?? Infinity;
      if (classQueue.lines.lowestRank() < lowest) best = classQueue;
    }
    return best;
  }

  function nextOffer(): Offer | undefined {
    let classQueue = nextClass();
    while (classQueue !== undefined) {
      const rank = classQueue.lines.lowestRank();
      const { subQueue } = classQueue.lines.pop()!;
      const group = headOf(subQueue);
      const isDue = group !== undefined && rankOf(group) <= rank;
      if (isDue && isWithinQuota(subQueue.tenantState)) {
        return { subQueue, group, classQueue };
      }
      enqueueSubQueue(subQueue);
      classQueue = nextClass();
    }
    return undefined;
  }

  function recordPlacement(group: TaskGroup, { costMs }: CostedTask): void {
    const tenantState = tenantStateOf(group.tenant);
    group.workMs = Math.max(0, group.workMs - costMs);
    tenantState.backlog.removeWork(group.backlogRank, costMs, true);
    group.isRequeued = false;
    if (group.tasks.length === 0) removeGroup(group);
    charge(tenantState, costMs);
    decreaseSize(tenantState, 1);
    suspendResumed();
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

  function makeOffer(
    { subQueue, group, classQueue }: Offer,
    tryPlace: TryPlace,
  ): void {
    if (!offerGroup(group, tryPlace)) {
      classQueue.refusals++;
      if (subQueue.refusals++ === 0) refusedSubQueues.push(subQueue);
      subQueue.groups.pop();
      refusedGroups.push(group);
    }
    if (subQueue.refusals < MAX_SUB_QUEUE_REFUSALS) enqueueSubQueue(subQueue);
  }

  /** Whether a drain may continue after its latest offer. */
  function canContinue(): boolean {
    if (refusedGroups.length === 0) return true;
    return options.hasCapacity?.(latestMs) ?? true;
  }

  function restoreRefused(): void {
    for (const group of refusedGroups) {
      if (group.removed) continue;
      const subQueue = subQueueOf(tenantStateOf(group.tenant), group.class);
      subQueue.groups.push(rankOf(group), group);
    }
    for (const subQueue of refusedSubQueues) {
      subQueue.refusals = 0;
      enqueueSubQueue(subQueue);
    }
    refusedGroups.length = 0;
    refusedSubQueues.length = 0;
    suspendResumed();
    for (const [name, classQueue] of classes) {
      classQueue.refusals = 0;
      if (classQueue.lines.size() === 0) classes.delete(name);
    }
  }

  function removeJob(job: JobId): readonly QueuedTask[] {
    const group = groups.get(job);
    if (group === undefined) return [];
    removeGroup(group);
    const tenantState = tenantStateOf(group.tenant);
    tenantState.backlog.removeWork(group.backlogRank, group.workMs, false);
    decreaseSize(tenantState, group.tasks.length);
    return group.tasks.map(({ task }) => task);
  }

  return {
    push(tasks) {
      const first = tasks[0];
      if (first === undefined) return;
      const existing = groups.get(first.job);
      const group = existing ?? createGroup(first);
      const shortestFirst = [...tasks]
        .sort((a, b) => a.declaredMs - b.declaredMs || b.index - a.index);
      addTasks(group, shortestFirst);
      if (existing === undefined) enqueueGroup(group);
    },

    requeue(task) {
      const existing = groups.get(task.job);
      const group = existing ?? createGroup(task);
      group.isRequeued = true;
      addTasks(group, [task]);
      charge(tenantStateOf(task.tenant), -costOf(task));
      enqueueGroup(group);
    },

    drain(tryPlace, nowMs) {
      latestMs = Math.max(latestMs, nowMs);
      resumeEligible();
      let offer = nextOffer();
      while (offer !== undefined || resumeLeastAhead()) {
        if (offer !== undefined) makeOffer(offer, tryPlace);
        if (!canContinue()) break;
        offer = nextOffer();
      }
      restoreRefused();
    },

    removeJob,

    forecast(prospect, nowMs) {
      const { tenant } = prospect;
      latestMs = Math.max(latestMs, nowMs);
      const tenantState = tenantStates.get(tenant);
      const tenantWeight = weightOf(tenant);
      const rank = rankOfProspectiveJob(prospect, nowMs);
      return {
        workAheadMs: tenantState?.backlog.upTo(rank) ?? 0,
        share: tenantWeight /
          (activeWeight - (tenantState?.weight ?? 0) + tenantWeight),
        serviceRate: (expectedRate) => {
          if (tenantState === undefined || tenantState.size === 0) {
            return expectedRate;
          }
          return tenantState.backlog.serviceRate(expectedRate, nowMs);
        },
      };
    },

    removeExpired(nowMs) {
      const expired: QueuedTask[] = [];
      while (byDeadline.lowestRank() <= nowMs) {
        const group = byDeadline.pop()!;
        if (!group.removed) expired.push(...removeJob(group.job));
      }
      return expired;
    },

    size(tenant) {
      return tenant === undefined
        ? totalSize
        : tenantStates.get(tenant)?.size ?? 0;
    },
  };
}
