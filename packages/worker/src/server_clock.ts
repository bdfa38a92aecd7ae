/**
 * Estimates the backend server's clock from the readings in its replies. The
 * clock may run slow, so a reading of unknown age says nothing about the present;
 * the estimate is the lowest value that the clock can have by now. A lease that
 * is requested up to a time on this estimate never lasts longer than intended.
 */
import { MIN_CLOCK_RATE } from "@coltsfootreach/run";

export interface ServerClock {
  /** Records a reading from a reply that has just arrived. */
  recordReading(clockMs: number, now: number): void;
  /** The server's clock shows at least this value now. */
  lowestMs(now: number): number;
  /** Time since the last reading. */
  ageMs(now: number): number;
}

export function createServerClock(clockMs: number, now: number): ServerClock {
  let lowestAtReadingMs = clockMs;
  let readAt = now;

  function lowestMs(time: number): number {
    return lowestAtReadingMs + (time - readAt) * MIN_CLOCK_RATE;
  }

  return {
    lowestMs,
    recordReading(readingMs, time) {
      // A reply that took long holds an older reading than the last one.
      lowestAtReadingMs = Math.max(readingMs, lowestMs(time));
      readAt = time;
    },
    ageMs: (time) => time - readAt,
  };
}
