/** A fake clock: events run in order of time, and time passes in no time. */
import { createHeap } from "@coltsfootreach/limit";

export interface Clock {
  nowMs(): number;
  after(delayMs: number, run: () => void): void;
  /** Runs events until none is left that is due by `endMs`. */
  runUntil(endMs: number): void;
}

export function createClock(): Clock {
  const events = createHeap<() => void>();
  let now = 0;
  return {
    nowMs: () => now,
    after(delayMs, run) {
      events.push(now + delayMs, run);
    },
    runUntil(endMs) {
      while (events.lowestRank() <= endMs) {
        now = events.lowestRank();
        events.pop()!();
      }
      now = Math.max(now, endMs);
    },
  };
}
