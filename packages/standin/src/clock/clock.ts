/** Time as the stand-ins see it: the machine's, or a test's own. */

/** Takes back what was scheduled; no use after it has run. */
export type Cancel = () => void;

export interface Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  nowMs(): number;
  schedule(delayMs: number, run: () => void): Cancel;
}

export const SYSTEM_CLOCK: Clock = {
  nowMs: () => performance.now(),
  schedule(delayMs, run) {
    const timer = setTimeout(run, delayMs);
    return () => clearTimeout(timer);
  },
};
