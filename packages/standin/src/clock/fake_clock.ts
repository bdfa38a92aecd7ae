/**
 * A clock that a test moves by hand. What is due at the same instant runs in
 * the order in which it was scheduled.
 */
import { setImmediate } from "node:timers/promises";
import type { Cancel, Clock } from "./clock.ts";

export interface FakeClock extends Clock {
  /**
   * Moves the time on and runs what falls due on the way. Promises settle
   * between any two runs and before the call returns.
   */
  advance(ms: number): Promise<void>;
}

interface Timer {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

export function createFakeClock(startMs = 0): FakeClock {
  let timeMs = startMs;
  let scheduled = 0;
  const timers = new Set<Timer>();

  return { nowMs: () => timeMs, schedule, advance };

  function schedule(delayMs: number, run: () => void): Cancel {
    const atMs = timeMs + Math.max(0, delayMs);
    const timer = { atMs, order: scheduled++, run };
    timers.add(timer);
    return () => timers.delete(timer);
  }

  async function advance(ms: number): Promise<void> {
    const untilMs = timeMs + ms;
    await setImmediate();
    for (let due = next(untilMs); due !== undefined; due = next(untilMs)) {
      timers.delete(due);
      timeMs = due.atMs;
      due.run();
      await setImmediate();
    }
    timeMs = untilMs;
  }

  function next(untilMs: number): Timer | undefined {
    let first: Timer | undefined;
    for (const timer of timers) {
      if (timer.atMs <= untilMs && (!first || precedes(timer, first))) {
        first = timer;
      }
    }
    return first;
  }
}

function precedes(a: Timer, b: Timer): boolean {
  return a.atMs === b.atMs ? a.order < b.order : a.atMs < b.atMs;
}
