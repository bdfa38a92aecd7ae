/**
 * Logs decisions with a rate limit. Lines above the limit are dropped and counted,
 * and the count is logged once a new window starts.
 */
import type { Log, LogFields } from "@coltsfootreach/log";

/** A line costs about 10 µs of CPU time on a small VM. */
const MAX_LINES_PER_SECOND = 200;

const WINDOW_MS = 1000;

export interface Decision extends LogFields {
  readonly message: string;
}

export interface DecisionLog {
  write(decision: Decision, now: number): void;
  /** Total number of dropped lines. */
  dropped(): number;
}

export function createDecisionLog(log: Log): DecisionLog {
  let windowStartMs = 0;
  let writtenInWindow = 0;
  let droppedInWindow = 0;
  let totalDropped = 0;

  function startWindow(now: number): void {
    windowStartMs = now;
    writtenInWindow = 0;
    if (droppedInWindow === 0) return;
    log.warn("decision log rate limit exceeded; lines were dropped", {
      figures: { lines: droppedInWindow },
    });
    droppedInWindow = 0;
  }

  return {
    write({ message, ...fields }, now) {
      if (now - windowStartMs >= WINDOW_MS) startWindow(now);
      if (writtenInWindow >= MAX_LINES_PER_SECOND) {
        droppedInWindow += 1;
        totalDropped += 1;
        return;
      }
      writtenInWindow += 1;
      log.info(message, fields);
    },
    dropped: () => totalDropped,
  };
}
