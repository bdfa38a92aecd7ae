/**
 * Circuit breaker that limits new runs after failures. A server that fails every
 * run always has free capacity, so placement by free capacity alone would send it
 * all the work.
 */

/** Consecutive failures after which a server is suspect. */
const FAILURE_THRESHOLD = 2;

/** Initial delay between trial runs; doubles up to the maximum. */
const INITIAL_TRIAL_DELAY_MS = 500;

const MAX_TRIAL_DELAY_MS = 4000;

export interface CircuitBreaker {
  succeeded(): void;
  failed(now: number): void;
  /** A run makes no progress; makes the server suspect at once. */
  stalled(now: number): void;
  isSuspect(): boolean;
  /** Whether a trial run may start; its outcome decides about further runs. */
  isTrialDue(now: number): boolean;
  trialStarted(now: number): void;
  reset(): void;
}

export function createCircuitBreaker(): CircuitBreaker {
  let consecutiveFailures = 0;
  let isSuspect = false;
  let trialDelayMs = INITIAL_TRIAL_DELAY_MS;
  let nextTrialAt = 0;

  function trip(now: number): void {
    if (isSuspect) {
      trialDelayMs = Math.min(MAX_TRIAL_DELAY_MS, trialDelayMs * 2);
    }
    isSuspect = true;
    nextTrialAt = now + trialDelayMs;
  }

  function clear(): void {
    consecutiveFailures = 0;
    isSuspect = false;
    trialDelayMs = INITIAL_TRIAL_DELAY_MS;
  }

  return {
    succeeded: clear,
    failed(now) {
      consecutiveFailures += 1;
      if (consecutiveFailures >= FAILURE_THRESHOLD) trip(now);
    },
    stalled: trip,
    isSuspect: () => isSuspect,
    isTrialDue: (now) => now >= nextTrialAt,
    trialStarted(now) {
      nextTrialAt = now + trialDelayMs;
    },
    reset: clear,
  };
}
