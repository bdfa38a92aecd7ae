/**
 * Estimates how long resubmitting callers have already waited. A caller whose
 * connection broke resubmits its job with its remaining timeout, so a timeout
 * below the queue's usual minimum shows that the caller has waited before. This
 * limits the load after an outage, when all callers resubmit at once and most
 * of them have too little time left for an answer.
 */

/** Number of recent timeouts kept per queue. */
const MAX_SAMPLES = 64;

/** With fewer samples, a queue has no reliable estimate. */
const MIN_SAMPLES = 12;

/** Share of callers whose timeout may be below the typical minimum. */
const LOW_QUANTILE = 0.1;

/** Timeouts below this share of the typical minimum show a resubmission. */
const TOLERANCE_FACTOR = 0.9;

/** Maximum number of queues with samples of their own. */
const MAX_QUEUES = 500;

/** Typical minimum timeout per queue, in milliseconds. */
export type TypicalTimeoutTable = Readonly<Record<string, number>>;

export interface CallerAgeEstimator {
  /** Records the timeout of a caller in normal operation. */
  recordTimeout(queue: string, timeoutMs: number): void;
  /** Returns a lower bound on the time that a caller has already waited. */
  ageMs(queue: string, timeoutMs: number): number;
  /** Returns the current estimates, including adopted ones. */
  table(): TypicalTimeoutTable;
  /** Adopts the estimates of other entries; local ones take precedence. */
  adopt(table: TypicalTimeoutTable): void;
}

export function createCallerAgeEstimator(): CallerAgeEstimator {
  const samples = new Map<string, number[]>();
  let sharedTable: TypicalTimeoutTable = {};

  function typicalMinTimeoutMs(queue: string): number | undefined {
    const timeouts = samples.get(queue);
    if (timeouts === undefined || timeouts.length < MIN_SAMPLES) {
      return sharedTable[queue];
    }
    const sorted = [...timeouts].sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length * LOW_QUANTILE)];
  }

  return {
    recordTimeout(queue, timeoutMs) {
      const timeouts = samples.get(queue) ?? [];
      if (timeouts.length === 0) {
        if (samples.size >= MAX_QUEUES) return;
        samples.set(queue, timeouts);
      }
      timeouts.push(timeoutMs);
      if (timeouts.length > MAX_SAMPLES) timeouts.shift();
    },
    ageMs(queue, timeoutMs) {
      const typicalMs = typicalMinTimeoutMs(queue);
      if (typicalMs === undefined) return 0;
      return Math.max(0, typicalMs * TOLERANCE_FACTOR - timeoutMs);
    },
    table() {
      const table: Record<string, number> = { ...sharedTable };
      for (const queue of samples.keys()) {
        const typicalMs = typicalMinTimeoutMs(queue);
        if (typicalMs !== undefined) table[queue] = typicalMs;
      }
      return table;
    },
    adopt(table) {
      sharedTable = table;
    },
  };
}
