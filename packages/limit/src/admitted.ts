/** Rates of admitted work, by size of job, averaged over a sliding window. */

export interface AdmittedWork {
  add(jobWorkMs: number, nowMs: number): void;
  /** Slot time per millisecond of jobs smaller than this one. */
  rateBelow(jobWorkMs: number, nowMs: number): number;
  /** No work was admitted for a long time. */
  isIdle(nowMs: number): boolean;
}

/** Time over which rates are averaged. */
const WINDOW_MS = 5_000;

/** Sizes double from one bucket to the next. */
const BUCKETS = 26;

function bucketOf(jobWorkMs: number): number {
  const bucket = Math.floor(Math.log2(Math.max(1, jobWorkMs)));
  return Math.min(BUCKETS - 1, bucket);
}

export function createAdmittedWork(): AdmittedWork {
  const buckets: number[] = Array(BUCKETS).fill(0);
  let fadedAtMs = 0;

  function fade(nowMs: number): void {
    const factor = Math.exp(-Math.max(0, nowMs - fadedAtMs) / WINDOW_MS);
    for (let at = 0; at < BUCKETS; at++) buckets[at]! *= factor;
    fadedAtMs = Math.max(fadedAtMs, nowMs);
  }

  return {
    add(jobWorkMs, nowMs) {
      fade(nowMs);
      buckets[bucketOf(jobWorkMs)]! += jobWorkMs;
    },

    rateBelow(jobWorkMs, nowMs) {
      fade(nowMs);
      let sum = 0;
      for (let at = 0; at < bucketOf(jobWorkMs); at++) sum += buckets[at]!;
      return sum / WINDOW_MS;
    },

    isIdle(nowMs) {
      return nowMs - fadedAtMs > 4 * WINDOW_MS;
    },
  };
}
