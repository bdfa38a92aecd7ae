/**
 * Notices that the process stood still: as a whole VM does when it is suspended,
 * which the steady clock may leave out, or when it gets no processor time.
 */

/** The time of day is corrected by less than this between two looks. */
const CLOCK_CORRECTION_MS = 300;

export interface PauseOptions {
  /** Never jumps, and may leave out the time of a suspension. */
  steadyMs(): number;
  /** The time of day; may jump. */
  wallMs(): number;
  /** Longest time between two looks of a process that runs. */
  readonly longestTurnMs: number;
}

export interface PauseWatch {
  /** True once after each pause; to be asked at every tick and every input. */
  isOver(): boolean;
}

export function watchForPause(clocks: PauseOptions): PauseWatch {
  let steadyMs = clocks.steadyMs();
  let wallMs = clocks.wallMs();
  return {
    isOver() {
      const turnMs = clocks.steadyMs() - steadyMs;
      const wallTurnMs = clocks.wallMs() - wallMs;
      steadyMs += turnMs;
      wallMs += wallTurnMs;
      return turnMs > clocks.longestTurnMs ||
        wallTurnMs - turnMs > CLOCK_CORRECTION_MS;
    },
  };
}
