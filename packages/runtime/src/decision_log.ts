/**
 * Writes decisions as lines of the log, at most so many a second: under load
 * the rest is counted, and the count is written when there is room again.
 */
import type { Log, LogFields } from "@coltsfootreach/log";

/** Lines a second; a line costs some 10 µs of a small VM's processor. */
const LINES_PER_SECOND = 200;

const WINDOW_MS = 1000;

export interface Decision extends LogFields {
  readonly message: string;
}

export interface DecisionLog {
  write(decision: Decision, now: number): void;
  /** Lines that were left out so far. */
  dropped(): number;
}

export function createDecisionLog(log: Log): DecisionLog {
  let windowStart = 0;
  let written = 0;
  let droppedNow = 0;
  let droppedInAll = 0;

  function startWindow(now: number): void {
    windowStart = now;
    written = 0;
    if (droppedNow === 0) return;
    log.warn("decisions not logged", { figures: { lines: droppedNow } });
    droppedNow = 0;
  }

  return {
    write({ message, ...fields }, now) {
      if (now - windowStart >= WINDOW_MS) startWindow(now);
      if (written >= LINES_PER_SECOND) {
        droppedNow += 1;
        droppedInAll += 1;
        return;
      }
      written += 1;
      log.info(message, fields);
    },
    dropped: () => droppedInAll,
  };
}
