/**
 * Detects that the process was paused, either because the whole VM was suspended,
 * which the monotonic clock may not count, or because it got no CPU time.
 */

/** Clock synchronization adjusts the wall clock by less between two checks. */
const MAX_CLOCK_CORRECTION_MS = 300;

export interface PauseDetectorOptions {
  /** Monotonic clock; may not count time during a suspension. */
  monotonicMs(): number;
  /** Wall clock; may jump. */
  wallMs(): number;
  /** Maximum time between two checks while the process is running. */
  readonly maxIntervalMs: number;
}

export interface PauseDetector {
  /**
   * Returns the length of a pause once after it, otherwise 0. Must be called on
   * every tick and every input.
   */
  takePauseMs(): number;
}

export function createPauseDetector(
  options: PauseDetectorOptions,
): PauseDetector {
  let lastMonotonicMs = options.monotonicMs();
  let lastWallMs = options.wallMs();
  return {
    takePauseMs() {
      const monotonicElapsedMs = options.monotonicMs() - lastMonotonicMs;
      const wallElapsedMs = options.wallMs() - lastWallMs;
      lastMonotonicMs += monotonicElapsedMs;
      lastWallMs += wallElapsedMs;
      const hasPaused = monotonicElapsedMs > options.maxIntervalMs ||
        wallElapsedMs - monotonicElapsedMs > MAX_CLOCK_CORRECTION_MS;
      return hasPaused ? Math.max(monotonicElapsedMs, wallElapsedMs) : 0;
    },
  };
}
