/**
 * Predicts how long new work has to wait behind queued work. A job that would
 * miss its deadline before it starts is refused immediately, so that its caller
 * can retry at another entry.
 */

export interface Backlog {
  /** Core-milliseconds queued ahead of the job. */
  readonly work: number;
  /** Core-milliseconds that can be placed per millisecond. */
  readonly rate: number;
}

/** Predicts the wait, up to `maxMs`; 0 if no work or no rate is known. */
export function predictWaitMs(backlog: Backlog, maxMs: number): number {
  if (backlog.work <= 0 || backlog.rate <= 0) return 0;
  return Math.min(maxMs, backlog.work / backlog.rate);
}
