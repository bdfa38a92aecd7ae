/** Exponentially decaying averages of the admitted work rate, by job size. */

export interface AdmittedWork {
  add(jobWorkMs: number, nowMs: number): void;
  /** Slot time per millisecond admitted for jobs smaller than this one. */
  rateOfSmallerJobs(jobWorkMs: number, nowMs: number): number;
  /** Whether the rates were neither updated nor read for several windows. */
  isIdle(nowMs: number): boolean;
}

/** Time constant of the rate averages. */
const WINDOW_MS = 5_000;

/** Buckets by job size, each covering twice the size of the previous one. */
const BUCKET_COUNT = 26;

function bucketIndexOf(jobWorkMs: number): number {
  const bucket = Math.floor(Math.log2(Math.max(1, jobWorkMs)));
  return Math.min(BUCKET_COUNT - 1, bucket);
}

export function createAdmittedWork(): AdmittedWork {
  const buckets: number[] = Array(BUCKET_COUNT).fill(0);
  let decayedAtMs = 0;

  function decay(nowMs: number): void {
    const factor = Math.exp(-Math.max(0, nowMs - decayedAtMs) / WINDOW_MS);
    for (let index = 0; index < BUCKET_COUNT; index++) {
      buckets[index]! *= factor;
    }
    decayedAtMs = Math.max(decayedAtMs, nowMs);
  }

  return {
    add(jobWorkMs, nowMs) {
      decay(nowMs);
      buckets[bucketIndexOf(jobWorkMs)]! += jobWorkMs;
    },

    rateOfSmallerJobs(jobWorkMs, nowMs) {
      decay(nowMs);
      let sum = 0;
      for (let index = 0; index < bucketIndexOf(jobWorkMs); index++) {
        sum += buckets[index]!;
      }
      return sum / WINDOW_MS;
    },

    isIdle(nowMs) {
      return nowMs - decayedAtMs > 4 * WINDOW_MS;
    },
  };
}
