/**
 * The work of one tenant that waits, by the rank of its jobs, and how fast it
 * has been served since it last had none.
 */

export interface Backlog {
  /** Work arrives under a rank. */
  add(rank: number, workMs: number): void;
  /** Work under a rank is served, or dropped when `isServed` is false. */
  take(rank: number, workMs: number, isServed: boolean): void;
  /** Starts the count of what is served. */
  open(nowMs: number): void;
  /** Work of ranks up to and with this one. */
  upTo(rank: number): number;
  /** Slot time served per millisecond, given what to expect before any was. */
  servedPerMs(expected: number, nowMs: number): number;
}

/** Ranks that are counted together, in milliseconds. */
const BUCKET_MS = 200;

/** Time for which the expected rate counts beside the seen one. */
const EXPECTED_MS = 500;

/** Time over which the rate of service is averaged. */
const WINDOW_MS = 3_000;

export function createBacklog(): Backlog {
  const buckets = new Map<number, number>();
  let served = 0;
  let elapsedMs = 0;
  let countedAtMs = 0;

  function change(rank: number, workMs: number): void {
    const bucket = Math.floor(rank / BUCKET_MS);
    const left = (buckets.get(bucket) ?? 0) + workMs;
    if (left > 1e-6) buckets.set(bucket, left);
    else buckets.delete(bucket);
  }

  function pass(nowMs: number): void {
    const passedMs = Math.max(0, nowMs - countedAtMs);
    const factor = Math.exp(-passedMs / WINDOW_MS);
    served *= factor;
    elapsedMs = elapsedMs * factor + passedMs;
    countedAtMs = Math.max(countedAtMs, nowMs);
  }

  return {
    add: change,

    take(rank, workMs, isServed) {
      change(rank, -workMs);
      if (isServed) served += workMs;
    },

    open(nowMs) {
      served = 0;
      elapsedMs = 0;
      countedAtMs = nowMs;
    },

    upTo(rank) {
      const last = Math.floor(rank / BUCKET_MS);
      let sum = 0;
      for (const [bucket, workMs] of buckets) if (bucket <= last) sum += workMs;
      return sum;
    },

    servedPerMs(expected, nowMs) {
      pass(nowMs);
      return (served + expected * EXPECTED_MS) / (elapsedMs + EXPECTED_MS);
    },
  };
}
