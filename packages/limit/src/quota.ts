/**
 * Quotas on task starts per second that hold over all entries. Each entry has
 * an equal share of a tenant's quota, and lends what it does not use: entries
 * tell each other their demand in frames that travel anyway, and a share that
 * an entry has said it does not want is divided among those that want more.
 * An entry that was not heard of lately is taken to use its whole share.
 *
 * An entry may always use its equal share at once. Until the others hear of it
 * the quota may be exceeded by what they have borrowed from it.
 */

/** Starts per second that an entry wants for one tenant. */
export interface TenantDemand {
  readonly tenant: string;
  readonly perSecond: number;
}

export interface Quota {
  /** When a task of the tenant may start; not after `nowMs` means now. */
  startableAtMs(tenant: string, nowMs: number): number;
  /** A task of the tenant was started. */
  start(tenant: string, nowMs: number): void;
  /** Tasks of the tenant came in. */
  want(tenant: string, tasks: number, nowMs: number): void;
  /** What to tell the other entries, for tenants that have a quota. */
  demands(nowMs: number): readonly TenantDemand[];
  /** What another entry told. */
  hear(entry: string, demands: readonly TenantDemand[], nowMs: number): void;
  /** The entry is no longer in the table. */
  forgetEntry(entry: string): void;
}

export interface QuotaOptions {
  /** Most starts per second over all entries; 0 means no limit. */
  readonly perSecondOf: (tenant: string) => number;
  /** Entries in the table, this one included. */
  readonly entries: () => number;
  /** Tasks of a tenant that wait here. */
  readonly queued: (tenant: string) => number;
}

/** Starts that may come at once, as seconds of the quota. */
const BURST_SECONDS = 0.5;

/** Time over which demand is averaged. */
const DEMAND_WINDOW_MS = 1_000;

/** Time within which waiting tasks are wanted to start. */
const QUEUE_WINDOW_SECONDS = 1;

/** Age at which what another entry told no longer counts. */
const MAX_HEARD_AGE_MS = 3_000;

interface Bucket {
  tokens: number;
  filledAtMs: number;
  /** Tasks that came in, faded over the window. */
  wanted: number;
  fadedAtMs: number;
}

interface Heard {
  readonly perSecond: ReadonlyMap<string, number>;
  readonly atMs: number;
}

export function createQuota(options: QuotaOptions): Quota {
  const buckets = new Map<string, Bucket>();
  const heard = new Map<string, Heard>();

  function equalShare(tenant: string): number {
    return options.perSecondOf(tenant) / Math.max(1, options.entries());
  }

  function fade(bucket: Bucket, nowMs: number): void {
    const ageMs = Math.max(0, nowMs - bucket.fadedAtMs);
    bucket.wanted *= Math.exp(-ageMs / DEMAND_WINDOW_MS);
    bucket.fadedAtMs = nowMs;
  }

  function demandOf(tenant: string, nowMs: number): number {
    const bucket = buckets.get(tenant);
    if (bucket === undefined) return 0;
    fade(bucket, nowMs);
    const arriving = bucket.wanted / (DEMAND_WINDOW_MS / 1_000);
    return arriving + options.queued(tenant) / QUEUE_WINDOW_SECONDS;
  }

  /** What the other entries leave unused, and what those short of it want. */
  function othersOf(
    tenant: string,
    nowMs: number,
  ): { readonly unused: number; readonly wanted: number } {
    const share = equalShare(tenant);
    let unused = 0;
    let wanted = 0;
    for (const { perSecond, atMs } of heard.values()) {
      if (nowMs - atMs > MAX_HEARD_AGE_MS) continue;
      const demand = perSecond.get(tenant) ?? 0;
      unused += Math.max(0, share - demand);
      wanted += Math.max(0, demand - share);
    }
    return { unused, wanted };
  }

  /** Starts per second that this entry may make now. */
  function rateOf(tenant: string, nowMs: number): number {
    const share = equalShare(tenant);
    const short = demandOf(tenant, nowMs) - share;
    if (short <= 0) return share;
    const { unused, wanted } = othersOf(tenant, nowMs);
    return share + unused * (short / (short + wanted));
  }

  function bucketOf(tenant: string, nowMs: number): Bucket {
    let bucket = buckets.get(tenant);
    if (bucket === undefined) {
      const tokens = mostTokens(equalShare(tenant));
      bucket = { tokens, filledAtMs: nowMs, wanted: 0, fadedAtMs: nowMs };
      buckets.set(tenant, bucket);
    }
    return bucket;
  }

  function mostTokens(rate: number): number {
    return Math.max(1, BURST_SECONDS * rate);
  }

  function fill(bucket: Bucket, rate: number, nowMs: number): void {
    const gained = rate * Math.max(0, nowMs - bucket.filledAtMs) / 1_000;
    bucket.tokens = Math.min(mostTokens(rate), bucket.tokens + gained);
    bucket.filledAtMs = Math.max(bucket.filledAtMs, nowMs);
  }

  return {
    startableAtMs(tenant, nowMs) {
      if (options.perSecondOf(tenant) <= 0) return nowMs;
      const bucket = bucketOf(tenant, nowMs);
      const rate = rateOf(tenant, nowMs);
      fill(bucket, rate, nowMs);
      if (bucket.tokens >= 1) return nowMs;
      return nowMs + ((1 - bucket.tokens) * 1_000) / rate;
    },

    start(tenant, nowMs) {
      if (options.perSecondOf(tenant) <= 0) return;
      const bucket = bucketOf(tenant, nowMs);
      fill(bucket, rateOf(tenant, nowMs), nowMs);
      bucket.tokens -= 1;
    },

    want(tenant, tasks, nowMs) {
      if (options.perSecondOf(tenant) <= 0) return;
      const bucket = bucketOf(tenant, nowMs);
      fade(bucket, nowMs);
      bucket.wanted += tasks;
    },

    demands(nowMs) {
      return [...buckets.keys()].map((tenant) => ({
        tenant,
        perSecond: demandOf(tenant, nowMs),
      }));
    },

    hear(entry, demands, nowMs) {
      const perSecond = new Map(
        demands.map((one) => [one.tenant, one.perSecond]),
      );
      heard.set(entry, { perSecond, atMs: nowMs });
    },

    forgetEntry(entry) {
      heard.delete(entry);
    },
  };
}
