/**
 * Runs a core: its input may come in bursts, and what it decides is carried out
 * once the sockets have been read, so that no decision rests on a state that
 * waiting input has already changed.
 */

export interface Loop {
  /** Something was handed to the core. */
  poke(): void;
  stop(): void;
}

export interface LoopOptions {
  readonly tickMs: number;
  tick(now: number): void;
  /** Carries out what the core wants done. */
  carryOut(now: number): void;
}

/** Milliseconds on a clock that never jumps. */
export function steadyNow(): number {
  return performance.now();
}

export function runLoop(options: LoopOptions): Loop {
  let isPoked = false;

  function poke(): void {
    if (isPoked) return;
    isPoked = true;
    // Immediates run after the poll phase, in which sockets are read.
    setImmediate(() => {
      isPoked = false;
      options.carryOut(steadyNow());
    });
  }

  const timer = setInterval(() => {
    options.tick(steadyNow());
    poke();
  }, options.tickMs);

  return { poke, stop: () => clearInterval(timer) };
}
