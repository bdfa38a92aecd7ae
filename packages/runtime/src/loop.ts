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
  /** Time to the next tick; shorter while there is something to watch. */
  tickMs(): number;
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
      hasten();
    });
  }

  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;
  let dueAt = Infinity;

  function schedule(): void {
    if (isStopped) return;
    const tickMs = options.tickMs();
    dueAt = steadyNow() + tickMs;
    timer = setTimeout(tick, tickMs);
  }

  function tick(): void {
    options.tick(steadyNow());
    poke();
    schedule();
  }

  /** Brings the next tick forward once there is something to watch. */
  function hasten(): void {
    if (dueAt - steadyNow() <= options.tickMs()) return;
    clearTimeout(timer);
    schedule();
  }

  schedule();
  return {
    poke,
    stop() {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
