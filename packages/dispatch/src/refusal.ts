/**
 * Foretells how long new work waits, from the work that is queued and the rate
 * at which queued work has been placed. A job that would be late before it
 * starts is refused at once, so that its caller can turn elsewhere.
 */

/** Half of the weight of a placement is gone after this time. */
const HALF_LIFE_MS = 700;

export interface DrainRate {
  /** Core-milliseconds that were placed now. */
  placed(work: number, now: number): void;
  /** Core-milliseconds a millisecond. */
  value(now: number): number;
}

export function createDrainRate(): DrainRate {
  let sum = 0;
  let at = 0;

  function decay(now: number): void {
    const passed = Math.max(0, now - at);
    sum *= 0.5 ** (passed / HALF_LIFE_MS);
    at = now;
  }

  return {
    placed(work, now) {
      decay(now);
      sum += work;
    },
    value(now) {
      decay(now);
      return (sum * Math.LN2) / HALF_LIFE_MS;
    },
  };
}

export interface Backlog {
  /** Core-milliseconds that wait ahead. */
  readonly work: number;
  /** Core-milliseconds placed a millisecond. */
  readonly rate: number;
}

/** Expected wait behind a backlog, at most `longestMs`; 0 while none is known. */
export function foretellWaitMs(backlog: Backlog, longestMs: number): number {
  if (backlog.work <= 0 || backlog.rate <= 0) return 0;
  return Math.min(longestMs, backlog.work / backlog.rate);
}
