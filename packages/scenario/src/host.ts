/**
 * A simulated process: it may be paused, when what reaches it waits, or killed,
 * when it does nothing any more. Its clock has an offset of its own.
 */
import type { Agenda } from "./agenda.ts";

export interface Host {
  readonly name: string;
  /** The process's own monotonic clock. */
  nowMs(): number;
  /** Runs now, after a pause, or never. */
  execute(run: () => void): void;
  /** Takes in something from outside, which is remembered in the history. */
  input(what: unknown, run: () => void): void;
  /** All that has reached this process: with the clock it makes its state. */
  history(): readonly string[];
  after(delayMs: number, run: () => void): void;
  every(periodMs: number, run: () => void): void;
  pause(): void;
  resume(): void;
  kill(): void;
  isAlive(): boolean;
  isPaused(): boolean;
}

export interface HostOptions {
  readonly name: string;
  readonly agenda: Agenda;
  readonly clockOffsetMs: number;
  /** False once nobody will ask for the history any more. */
  isRecording(): boolean;
}

export function createHost(options: HostOptions): Host {
  const { agenda, name, clockOffsetMs } = options;
  let isAlive = true;
  let isPaused = false;
  let backlog: (() => void)[] = [];
  const history: string[] = [];

  function remember(what: unknown): void {
    if (!options.isRecording()) return;
    history.push(`${agenda.nowMs()} ${JSON.stringify(what)}`);
  }

  function execute(run: () => void): void {
    if (!isAlive) return;
    if (isPaused) backlog.push(run);
    else run();
  }

  function every(periodMs: number, run: () => void): void {
    agenda.schedule(periodMs, () =>
      execute(() => {
        run();
        every(periodMs, run);
      }));
  }

  return {
    name,
    nowMs: () => agenda.nowMs() + clockOffsetMs,
    execute,
    input(what, run) {
      execute(() => {
        remember(what);
        run();
      });
    },
    history: () => history,
    after(delayMs, run) {
      agenda.schedule(delayMs, () => execute(run));
    },
    every,
    pause() {
      remember("pause");
      isPaused = true;
    },
    resume() {
      remember("resume");
      isPaused = false;
      const waiting = backlog;
      backlog = [];
      for (const run of waiting) execute(run);
    },
    kill() {
      isAlive = false;
      backlog = [];
    },
    isAlive: () => isAlive,
    isPaused: () => isPaused,
  };
}
