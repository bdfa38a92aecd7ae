/**
 * Weighted fair queueing between tenants. A tenant whose weighted service exceeds
 * the virtual time by more than a bounded lead is suspended, and so is one whose
 * quota is exhausted.
 */
import { type Backlog, createBacklog } from "./backlog.ts";
import type { SubQueue } from "./class_queues.ts";
import { createHeap, type Heap } from "./heap.ts";

/** Slot time by which a tenant of weight 1 may exceed its fair share. */
const MAX_LEAD_MS = 4_000;

/** Lower bound applied to the weight of every tenant. */
const MIN_WEIGHT = 0.01;

/** Maximum number of suspended tenants resumed at once for spare capacity. */
const MAX_RESUMED_AHEAD = 8;

export interface TenantState {
  readonly tenant: string;
  /** The tenant's queued jobs by class. */
  readonly subQueues: Map<string, SubQueue>;
  size: number;
  /** Contribution to the active weight; 0 while the tenant has no tasks. */
  weight: number;
  /** Slot time divided by the weight, comparable with the virtual time. */
  servedMs: number;
  isSuspended: boolean;
  readonly backlog: Backlog;
}

export interface FairShareOptions {
  /** Scheduling weight of a tenant; defaults to 1. */
  readonly weightOf?: ((tenant: string) => number) | undefined;
  /** Earliest start time of the tenant's next task; at most `nowMs` means now. */
  readonly nextStartAtMs?:
    | ((tenant: string, nowMs: number) => number)
    | undefined;
  /** Called when the tenant's sub-queues may be placed again. */
  resumed(tenantState: TenantState): void;
}

export interface AddedTasks {
  readonly count: number;
  readonly nowMs: number;
}

export interface FairShare {
  /** Returns the state of the tenant, which is created if there is none. */
  stateOf(tenant: string): TenantState;
  find(tenant: string): TenantState | undefined;
  totalSize(): number;
  increaseSize(tenantState: TenantState, added: AddedTasks): void;
  decreaseSize(tenantState: TenantState, count: number): void;
  /** Charges the tenant for slot time; suspends it if it gets too far ahead. */
  charge(tenantState: TenantState, costMs: number): void;
  /** The share of the slots that the tenant has, or would have with tasks. */
  shareOf(tenant: string): number;
  /** Whether the quota allows a start now; suspends the tenant if not. */
  isWithinQuota(tenantState: TenantState, nowMs: number): boolean;
  resumeEligible(nowMs: number): void;
  /**
   * Resumes the suspended tenant with the smallest lead, to compete for spare
   * capacity. It is suspended again as soon as a task is placed.
   */
  resumeLeastAhead(): boolean;
  suspendResumed(): void;
}

/** Where a suspended tenant waits, and in which order. */
interface SuspendedRank {
  readonly heap: Heap<TenantState>;
  readonly rank: number;
}

export function createFairShare(options: FairShareOptions): FairShare {
  const tenantStates = new Map<string, TenantState>();
  /** Tenants ahead of their fair share, by weighted slot time. */
  const suspended = createHeap<TenantState>();
  /** Tenants with an exhausted quota, by the time of their next start. */
  const overQuota = createHeap<TenantState>();
  const resumedAhead: TenantState[] = [];
  let virtualMs = 0;
  let activeWeight = 0;
  let totalSize = 0;

  function weightOf(tenant: string): number {
    return Math.max(MIN_WEIGHT, options.weightOf?.(tenant) ?? 1);
  }

  function stateOf(tenant: string): TenantState {
    const existing = tenantStates.get(tenant);
    if (existing !== undefined) return existing;
    const tenantState: TenantState = {
      tenant,
      subQueues: new Map(),
      size: 0,
      weight: 0,
      servedMs: 0,
      isSuspended: false,
      backlog: createBacklog(),
    };
    tenantStates.set(tenant, tenantState);
    return tenantState;
  }

  /** Replaces the tenant's contribution to the sum of active weights. */
  function updateActiveWeight(tenantState: TenantState, weight: number): void {
    activeWeight = Math.max(0, activeWeight + weight - tenantState.weight);
    tenantState.weight = weight;
  }

  function charge(tenantState: TenantState, costMs: number): void {
    if (tenantState.size > 0) {
      updateActiveWeight(tenantState, weightOf(tenantState.tenant));
    }
    tenantState.servedMs += costMs / weightOf(tenantState.tenant);
    virtualMs += costMs / Math.max(MIN_WEIGHT, activeWeight);
    suspendIfAhead(tenantState);
  }

  function suspendIfAhead(tenantState: TenantState): void {
    const isAhead = tenantState.servedMs > virtualMs + MAX_LEAD_MS;
    if (tenantState.isSuspended || !isAhead) return;
    suspend(tenantState, { heap: suspended, rank: tenantState.servedMs });
  }

  function suspend(
    tenantState: TenantState,
    { heap, rank }: SuspendedRank,
  ): void {
    tenantState.isSuspended = true;
    for (const subQueue of tenantState.subQueues.values()) subQueue.entry = 0;
    heap.push(rank, tenantState);
  }

  function resume(tenantState: TenantState): void {
    tenantState.isSuspended = false;
    options.resumed(tenantState);
  }

  return {
    stateOf,
    find: (tenant) => tenantStates.get(tenant),
    totalSize: () => totalSize,
    increaseSize(tenantState, { count, nowMs }) {
      if (tenantState.size === 0) {
        updateActiveWeight(tenantState, weightOf(tenantState.tenant));
        tenantState.servedMs = Math.max(tenantState.servedMs, virtualMs);
        tenantState.backlog.resetServiceRate(nowMs);
      }
      tenantState.size += count;
      totalSize += count;
    },
    decreaseSize(tenantState, count) {
      tenantState.size -= count;
      totalSize -= count;
      if (tenantState.size > 0) return;
      updateActiveWeight(tenantState, 0);
      if (tenantState.servedMs <= virtualMs) {
        tenantStates.delete(tenantState.tenant);
      }
    },
    charge,
    shareOf(tenant) {
      const weight = weightOf(tenant);
      const ownWeight = tenantStates.get(tenant)?.weight ?? 0;
      return weight / (activeWeight - ownWeight + weight);
    },
    isWithinQuota(tenantState, nowMs) {
      const nextStartAtMs =
        options.nextStartAtMs?.(tenantState.tenant, nowMs) ?? 0;
      if (nextStartAtMs <= nowMs) return true;
      suspend(tenantState, { heap: overQuota, rank: nextStartAtMs });
      return false;
    },
    resumeEligible(nowMs) {
      while (overQuota.lowestRank() <= nowMs) resume(overQuota.pop()!);
      while (suspended.lowestRank() <= virtualMs + MAX_LEAD_MS) {
        resume(suspended.pop()!);
      }
    },
    resumeLeastAhead() {
      if (suspended.size() === 0 || resumedAhead.length >= MAX_RESUMED_AHEAD) {
        return false;
      }
      const tenantState = suspended.pop()!;
      resumedAhead.push(tenantState);
      resume(tenantState);
      return true;
    },
    suspendResumed() {
      for (const tenantState of resumedAhead) suspendIfAhead(tenantState);
      resumedAhead.length = 0;
    },
  };
}
