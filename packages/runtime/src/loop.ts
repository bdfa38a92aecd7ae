/**
 * Drives a core with ticks and applies its effects. Input may arrive in bursts,
 * so effects are applied only after all readable sockets have been read;
 * otherwise decisions would be based on state that pending input makes outdated.
 */

export interface CoreLoop {
  /** Schedules applying the effects after new input to the core. */
  wake(): void;
  stop(): void;
}

export interface CoreLoopOptions {
  /** Time until the next tick; shorter while the core is busy. */
  tickMs(): number;
  tick(now: number): void;
  /** Applies the effects that the core has requested. */
  applyEffects(now: number): void;
}

/** Milliseconds on a monotonic clock. */
export function monotonicNowMs(): number {
  return performance.now();
}

export function startCoreLoop(options: CoreLoopOptions): CoreLoop {
  let isWakePending = false;

  function wake(): void {
    if (isWakePending) return;
    isWakePending = true;
    // Immediates run after the poll phase, in which sockets are read.
    setImmediate(() => {
      isWakePending = false;
      options.applyEffects(monotonicNowMs());
      rescheduleIfSooner();
    });
  }

  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;
  let nextTickAtMs = Infinity;

  function scheduleTick(): void {
    if (isStopped) return;
    const tickMs = options.tickMs();
    nextTickAtMs = monotonicNowMs() + tickMs;
    timer = setTimeout(tick, tickMs);
  }

  function tick(): void {
    options.tick(monotonicNowMs());
    wake();
    scheduleTick();
  }

  /** Moves the next tick forward if the tick interval has become shorter. */
  function rescheduleIfSooner(): void {
    if (nextTickAtMs - monotonicNowMs() <= options.tickMs()) return;
    clearTimeout(timer);
    scheduleTick();
  }

  scheduleTick();
  return {
    wake,
    stop() {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
