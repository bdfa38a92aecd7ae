/**
 * Slot time that tenants have taken lately, against their fair share. Unlike
 * the order of the queue it also tells when the others' queues are empty, so
 * that a tenant far over its share can be kept from filling every slot.
 */

export interface Usage {
  /** A task of the tenant was started. */
  start(tenant: string, costMs: number, nowMs: number): void;
  /**
   * Slot time taken over the fair share among tenants active lately: 1 when the
   * tenant takes just its share, more when it takes more.
   */
  ratio(tenant: string, nowMs: number): number;
}

export interface UsageOptions {
  /** Slots that this entry can count on. */
  readonly slots: () => number;
  /** Share of a tenant relative to the others; 1 when not given. */
  readonly weightOf?: ((tenant: string) => number) | undefined;
}

/** Time over which usage is averaged. */
const WINDOW_MS = 30_000;

/** How long the sum of weights is used before it is taken anew. */
const REFRESH_MS = 100;

/** Slot time below which a tenant counts as not active. */
const MIN_USED_MS = 1;

interface Used {
  ms: number;
  fadedAtMs: number;
}

export function createUsage(options: UsageOptions): Usage {
  const used = new Map<string, Used>();
  let activeWeight = 0;
  let refreshedAtMs = -Infinity;

  function weightOf(tenant: string): number {
    return options.weightOf?.(tenant) ?? 1;
  }

  function fade(one: Used, nowMs: number): void {
    one.ms *= Math.exp(-Math.max(0, nowMs - one.fadedAtMs) / WINDOW_MS);
    one.fadedAtMs = Math.max(one.fadedAtMs, nowMs);
  }

  function refresh(nowMs: number): void {
    if (nowMs - refreshedAtMs < REFRESH_MS) return;
    refreshedAtMs = nowMs;
    activeWeight = 0;
    for (const [tenant, one] of used) {
      fade(one, nowMs);
      if (one.ms < MIN_USED_MS) used.delete(tenant);
      else activeWeight += weightOf(tenant);
    }
  }

  return {
    start(tenant, costMs, nowMs) {
      const one = used.get(tenant) ?? { ms: 0, fadedAtMs: nowMs };
      fade(one, nowMs);
      one.ms += costMs;
      used.set(tenant, one);
    },

    ratio(tenant, nowMs) {
      refresh(nowMs);
      const one = used.get(tenant);
      if (one === undefined) return 0;
      fade(one, nowMs);
      const own = weightOf(tenant);
      const share = own / Math.max(own, activeWeight);
      return one.ms / (WINDOW_MS * Math.max(1, options.slots()) * share);
    },
  };
}
