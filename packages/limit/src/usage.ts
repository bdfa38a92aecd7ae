/**
 * Recent slot time of tenants relative to their fair share. Unlike the queue's
 * scheduling order, it also applies while the queues of other tenants are
 * empty, so that a tenant far above its share can be kept from filling every
 * slot.
 */

export interface Usage {
  /** Records the start of a task. */
  start(tenant: string, costMs: number, nowMs: number): void;
  /**
   * Recent slot time divided by the fair share among recently active tenants: 1
   * when the tenant uses exactly its share, and higher when it uses more.
   */
  fairShareRatio(tenant: string, nowMs: number): number;
}

export interface UsageOptions {
  /** Number of slots available to this entry. */
  readonly slots: () => number;
  /** Scheduling weight of a tenant; defaults to 1. */
  readonly weightOf?: ((tenant: string) => number) | undefined;
}

/** Time constant of the usage average. */
const WINDOW_MS = 30_000;

/** Interval at which the sum of active weights is recomputed. */
const WEIGHT_REFRESH_MS = 100;

/** Slot time below which a tenant counts as inactive. */
const MIN_USED_MS = 1;

interface TenantUsage {
  ms: number;
  decayedAtMs: number;
}

export function createUsage(options: UsageOptions): Usage {
  const usageByTenant = new Map<string, TenantUsage>();
  let activeWeight = 0;
  let refreshedAtMs = -Infinity;

  function weightOf(tenant: string): number {
    return options.weightOf?.(tenant) ?? 1;
  }

  function decay(usage: TenantUsage, nowMs: number): void {
    usage.ms *= Math.exp(-Math.max(0, nowMs - usage.decayedAtMs) / WINDOW_MS);
    usage.decayedAtMs = Math.max(usage.decayedAtMs, nowMs);
  }

  function refreshActiveWeight(nowMs: number): void {
    if (nowMs - refreshedAtMs < WEIGHT_REFRESH_MS) return;
    refreshedAtMs = nowMs;
    activeWeight = 0;
    for (const [tenant, usage] of usageByTenant) {
      decay(usage, nowMs);
      if (usage.ms < MIN_USED_MS) usageByTenant.delete(tenant);
      else activeWeight += weightOf(tenant);
    }
  }

  return {
    start(tenant, costMs, nowMs) {
      const usage = usageByTenant.get(tenant) ?? { ms: 0, decayedAtMs: nowMs };
      decay(usage, nowMs);
      usage.ms += costMs;
      usageByTenant.set(tenant, usage);
    },

    fairShareRatio(tenant, nowMs) {
      refreshActiveWeight(nowMs);
      const usage = usageByTenant.get(tenant);
      if (usage === undefined) return 0;
      decay(usage, nowMs);
      const tenantWeight = weightOf(tenant);
      const share = tenantWeight / Math.max(tenantWeight, activeWeight);
      return usage.ms / (WINDOW_MS * Math.max(1, options.slots()) * share);
    },
  };
}
