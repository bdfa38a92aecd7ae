/**
 * Learns how much longer runs take than their callers declare. Declared times
 * are off by a factor per job, so the mean is taken over logarithms.
 */

/** Share of a new value once enough are known. */
const STEADY_GAIN = 0.12;

/** Bounds one odd run's influence. */
const MAX_RATIO = 16;

export interface Slowness {
  ended(ms: number, estimateMs: number): void;
  value(): number;
  /** Forgets what was learnt, as for a new life of the backend server. */
  reset(): void;
}

export function createSlowness(): Slowness {
  let mean = 0;
  let count = 0;
  return {
    ended(ms, estimateMs) {
      if (estimateMs <= 0 || ms <= 0) return;
      const ratio = Math.min(
        MAX_RATIO,
        Math.max(1 / MAX_RATIO, ms / estimateMs),
      );
      count += 1;
      const gain = Math.max(STEADY_GAIN, 1 / (count + 1));
      mean += gain * (Math.log(ratio) - mean);
    },
    value: () => Math.exp(mean),
    reset() {
      mean = 0;
      count = 0;
    },
  };
}
