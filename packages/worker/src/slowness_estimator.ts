/**
 * Estimates the ratio of actual to declared run time. Declared times are off by a
 * factor per job, so the estimator averages the logarithms of the ratios.
 */

/** Weight of a new sample once there are enough samples. */
const MIN_GAIN = 0.12;

/** Limits the influence of a single outlier. */
const MAX_RATIO = 16;

export interface SlownessEstimator {
  ended(actualMs: number, estimateMs: number): void;
  value(): number;
  /** Discards all samples, as for a new instance of the backend server. */
  reset(): void;
}

export function createSlownessEstimator(): SlownessEstimator {
  let meanLogRatio = 0;
  let count = 0;
  return {
    ended(actualMs, estimateMs) {
      if (estimateMs <= 0 || actualMs <= 0) return;
      const ratio = Math.min(
        MAX_RATIO,
        Math.max(1 / MAX_RATIO, actualMs / estimateMs),
      );
      count += 1;
      const gain = Math.max(MIN_GAIN, 1 / (count + 1));
      meanLogRatio += gain * (Math.log(ratio) - meanLogRatio);
    },
    value: () => Math.exp(meanLogRatio),
    reset() {
      meanLogRatio = 0;
      count = 0;
    },
  };
}
