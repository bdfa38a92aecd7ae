/**
 * Queued work of one tenant, by the rank of its jobs, and the rate at which the
 * tenant has been served since its queue was last empty.
 */

export interface Backlog {
  /** Adds queued work under a rank. */
  addWork(rank: number, workMs: number): void;
  /** Removes work under a rank; only served work counts in the service rate. */
  removeWork(rank: number, workMs: number, isServed: boolean): void;
  /** Restarts the measurement of the service rate. */
  resetServiceRate(nowMs: number): void;
  /** Total work of ranks up to and including this one. */
  upTo(rank: number): number;
  /**
   * Slot time served per millisecond, averaged with `expectedRate`, which is
   * the result until there are measurements.
   */
  serviceRate(expectedRate: number, nowMs: number): number;
}

/** Width of the rank range that shares one bucket. */
const RANK_BUCKET_MS = 200;

/** Weight of the expected rate, as an equivalent measurement time. */
const EXPECTED_RATE_WEIGHT_MS = 500;

/** Time constant of the service rate average. */
const WINDOW_MS = 3_000;

export function createBacklog(): Backlog {
  const buckets = new Map<number, number>();
  let servedWorkMs = 0;
  let elapsedMs = 0;
  let updatedAtMs = 0;

  function adjustWork(rank: number, workMs: number): void {
    const bucket = Math.floor(rank / RANK_BUCKET_MS);
    const remainingMs = (buckets.get(bucket) ?? 0) + workMs;
    if (remainingMs > 1e-6) buckets.set(bucket, remainingMs);
    else buckets.delete(bucket);
  }

  function decay(nowMs: number): void {
    const sinceUpdateMs = Math.max(0, nowMs - updatedAtMs);
    const factor = Math.exp(-sinceUpdateMs / WINDOW_MS);
    servedWorkMs *= factor;
    elapsedMs = elapsedMs * factor + sinceUpdateMs;
    updatedAtMs = Math.max(updatedAtMs, nowMs);
  }

  return {
    addWork: adjustWork,

    removeWork(rank, workMs, isServed) {
      adjustWork(rank, -workMs);
      if (isServed) servedWorkMs += workMs;
    },

    resetServiceRate(nowMs) {
      servedWorkMs = 0;
      elapsedMs = 0;
      updatedAtMs = nowMs;
    },

    upTo(rank) {
      const lastBucket = Math.floor(rank / RANK_BUCKET_MS);
      let sum = 0;
      for (const [bucket, workMs] of buckets) {
        if (bucket <= lastBucket) sum += workMs;
      }
      return sum;
    },

    serviceRate(expectedRate, nowMs) {
      decay(nowMs);
      return (servedWorkMs + expectedRate * EXPECTED_RATE_WEIGHT_MS) /
        (elapsedMs + EXPECTED_RATE_WEIGHT_MS);
    },
  };
}
