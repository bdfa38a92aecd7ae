/**
 * Foretells how long new work waits behind the work that waits already. A job
 * that would be late before it starts is refused at once, so that its caller
 * can turn elsewhere.
 */

export interface Backlog {
  /** Core-milliseconds that wait ahead. */
  readonly work: number;
  /** Core-milliseconds that find room in a millisecond. */
  readonly rate: number;
}

/** Expected wait behind a backlog, at most `longestMs`; 0 while none is known. */
export function foretellWaitMs(backlog: Backlog, longestMs: number): number {
  if (backlog.work <= 0 || backlog.rate <= 0) return 0;
  return Math.min(longestMs, backlog.work / backlog.rate);
}
