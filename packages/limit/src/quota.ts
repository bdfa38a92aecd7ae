/**
 * Quotas on task starts per second, shared by all entries. Each entry has an
 * equal share of a tenant's quota and lends the part it does not use: entries
 * report their demand in frames that they exchange anyway, and the unused part
 * of a share is divided among the entries whose demand exceeds theirs. An entry
 * without a recent report is assumed to use its whole share.
 *
 * An entry may always use its equal share immediately. Until the other entries
 * receive its new demand, the quota can be exceeded by the part that they have
 * borrowed from it.
 */

import type { TenantDemand } from "@coltsfootreach/types";

export interface Quota {
  /** Earliest start time of the tenant's next task; at most `nowMs` means now. */
  nextStartAtMs(tenant: string, nowMs: number): number;
  /** Records the start of a task. */
  start(tenant: string, nowMs: number): void;
  /** Records newly submitted tasks as demand. */
  recordArrivals(tenant: string, tasks: number, nowMs: number): void;
  /** The demand to report to other entries, for tenants that have a quota. */
  demands(nowMs: number): readonly TenantDemand[];
  /** Stores the demand that another entry reported. */
  recordDemands(
    entry: string,
    demands: readonly TenantDemand[],
    nowMs: number,
  ): void;
  /** Removes the report of an entry that has left the table of entries. */
  removeEntry(entry: string): void;
}

export interface QuotaOptions {
  /** Maximum starts per second over all entries; 0 means no limit. */
  readonly limitPerSecondOf: (tenant: string) => number;
  /** Number of entries in the table, including this one. */
  readonly entries: () => number;
  /** Number of queued tasks of a tenant in this entry. */
  readonly queued: (tenant: string) => number;
}

/** Capacity of the token bucket, as seconds of the rate. */
const BURST_SECONDS = 0.5;

/** Time constant of the arrival rate average. */
const DEMAND_WINDOW_MS = 1_000;

/** Time in which the queued tasks should start, to convert them to a rate. */
const QUEUE_DRAIN_SECONDS = 1;

/** Age after which the demand reported by another entry is ignored. */
const MAX_DEMAND_AGE_MS = 3_000;

interface Bucket {
  tokens: number;
  refilledAtMs: number;
  /** Submitted tasks, decayed exponentially over the demand window. */
  arrivals: number;
  decayedAtMs: number;
}

interface EntryDemands {
  readonly perSecond: ReadonlyMap<string, number>;
  readonly atMs: number;
}

export function createQuota(options: QuotaOptions): Quota {
  const buckets = new Map<string, Bucket>();
  const demandsByEntry = new Map<string, EntryDemands>();

  function equalShare(tenant: string): number {
    return options.limitPerSecondOf(tenant) / Math.max(1, options.entries());
  }

  function decay(bucket: Bucket, nowMs: number): void {
    const ageMs = Math.max(0, nowMs - bucket.decayedAtMs);
    bucket.arrivals *= Math.exp(-ageMs / DEMAND_WINDOW_MS);
    bucket.decayedAtMs = nowMs;
  }

  function demandOf(tenant: string, nowMs: number): number {
    const bucket = buckets.get(tenant);
    if (bucket === undefined) return 0;
    decay(bucket, nowMs);
    const arrivalRate = bucket.arrivals / (DEMAND_WINDOW_MS / 1_000);
    return arrivalRate + options.queued(tenant) / QUEUE_DRAIN_SECONDS;
  }

  /** The rate that other entries leave unused, and their demand above shares. */
  function otherEntriesOf(
    tenant: string,
    nowMs: number,
  ): { readonly unusedRate: number; readonly excessDemand: number } {
    const share = equalShare(tenant);
    let unusedRate = 0;
    let excessDemand = 0;
    for (const { perSecond, atMs } of demandsByEntry.values()) {
      if (nowMs - atMs > MAX_DEMAND_AGE_MS) continue;
      const demand = perSecond.get(tenant) ?? 0;
      unusedRate += Math.max(0, share - demand);
      excessDemand += Math.max(0, demand - share);
    }
    return { unusedRate, excessDemand };
  }

  /** Starts per second that this entry is currently allowed. */
  function rateOf(tenant: string, nowMs: number): number {
    const share = equalShare(tenant);
    const deficit = demandOf(tenant, nowMs) - share;
    if (deficit <= 0) return share;
    const { unusedRate, excessDemand } = otherEntriesOf(tenant, nowMs);
    return share + unusedRate * (deficit / (deficit + excessDemand));
  }

  function bucketOf(tenant: string, nowMs: number): Bucket {
    let bucket = buckets.get(tenant);
    if (bucket === undefined) {
      const tokens = capacityOf(equalShare(tenant));
      bucket = { tokens, refilledAtMs: nowMs, arrivals: 0, decayedAtMs: nowMs };
      buckets.set(tenant, bucket);
    }
    return bucket;
  }

  function capacityOf(rate: number): number {
    return Math.max(1, BURST_SECONDS * rate);
  }

  function refill(bucket: Bucket, rate: number, nowMs: number): void {
    const refilledTokens = rate * Math.max(0, nowMs - bucket.refilledAtMs) /
      1_000;
    bucket.tokens = Math.min(capacityOf(rate), bucket.tokens + refilledTokens);
    bucket.refilledAtMs = Math.max(bucket.refilledAtMs, nowMs);
  }

  return {
    nextStartAtMs(tenant, nowMs) {
      if (options.limitPerSecondOf(tenant) <= 0) return nowMs;
      const bucket = bucketOf(tenant, nowMs);
      const rate = rateOf(tenant, nowMs);
      refill(bucket, rate, nowMs);
      if (bucket.tokens >= 1) return nowMs;
      return nowMs + ((1 - bucket.tokens) * 1_000) / rate;
    },

    start(tenant, nowMs) {
      if (options.limitPerSecondOf(tenant) <= 0) return;
      const bucket = bucketOf(tenant, nowMs);
      refill(bucket, rateOf(tenant, nowMs), nowMs);
      bucket.tokens -= 1;
    },

    recordArrivals(tenant, tasks, nowMs) {
      if (options.limitPerSecondOf(tenant) <= 0) return;
      const bucket = bucketOf(tenant, nowMs);
      decay(bucket, nowMs);
      bucket.arrivals += tasks;
    },

    demands(nowMs) {
      return [...buckets.keys()].map((tenant) => ({
        tenant,
        perSecond: demandOf(tenant, nowMs),
      }));
    },

    recordDemands(entry, demands, nowMs) {
      const perSecond = new Map(
        demands.map((demand) => [demand.tenant, demand.perSecond]),
      );
      demandsByEntry.set(entry, { perSecond, atMs: nowMs });
    },

    removeEntry(entry) {
      demandsByEntry.delete(entry);
    },
  };
}
