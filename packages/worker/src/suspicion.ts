/**
 * Decides from how runs end whether a backend server gets more work. A server
 * that fails everything is always free, and would draw all work if it were
 * judged by its room alone.
 */

/** Failures in a row after which a server counts as suspect. */
const FAILURES_IN_ROW = 2;

/** First pause between trial runs; doubles up to the longest. */
const FIRST_PAUSE_MS = 500;

const LONGEST_PAUSE_MS = 4000;

export interface Suspicion {
  succeeded(): void;
  failed(now: number): void;
  /** A run makes no progress. */
  stalled(now: number): void;
  isSuspect(): boolean;
  /** A trial run may start; its outcome decides. */
  mayTry(now: number): boolean;
  tried(now: number): void;
  reset(): void;
}

export function createSuspicion(): Suspicion {
  let failuresInRow = 0;
  let isSuspect = false;
  let pauseMs = FIRST_PAUSE_MS;
  let nextTrialAt = 0;

  function suspect(now: number): void {
    if (isSuspect) pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
    isSuspect = true;
    nextTrialAt = now + pauseMs;
  }

  function clear(): void {
    failuresInRow = 0;
    isSuspect = false;
    pauseMs = FIRST_PAUSE_MS;
  }

  return {
    succeeded: clear,
    failed(now) {
      failuresInRow += 1;
      if (failuresInRow >= FAILURES_IN_ROW) suspect(now);
    },
    stalled: suspect,
    isSuspect: () => isSuspect,
    mayTry: (now) => now >= nextTrialAt,
    tried(now) {
      nextTrialAt = now + pauseMs;
    },
    reset: clear,
  };
}
