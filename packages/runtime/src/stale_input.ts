/**
 * Bounds the age of input after the process was paused. The sockets then hold
 * what arrived in the meantime, which looks like new input when it is read.
 */
import { STALE_INPUT_WINDOW_MS } from "@coltsfootreach/run";
import { monotonicNowMs } from "./loop.ts";
import { createPauseDetector, type PauseDetector } from "./pause.ts";

/** Turns of the event loop to accept connections and read what they hold. */
const STALE_TURNS = 4;

export interface StaleInput {
  /** Must be called on every tick, and before input is handled. */
  check(): void;
  /** Longest time that input read now may have waited; 0 if it is fresh. */
  maxAgeMs(): number;
}

export interface StaleInputOptions {
  readonly detector: PauseDetector;
  nowMs(): number;
  /** Called once after each pause. */
  paused?(pauseMs: number): void;
}

export interface ProcessPauseOptions {
  /** Maximum time between two checks while the process is running. */
  readonly thresholdMs: number;
  readonly paused?: StaleInputOptions["paused"];
}

/** Bounds the age of this process's input. */
export function createProcessStaleInput(
  { thresholdMs, paused }: ProcessPauseOptions,
): StaleInput {
  const detector = createPauseDetector({
    monotonicMs: monotonicNowMs,
    wallMs: Date.now,
    maxIntervalMs: thresholdMs,
  });
  return createStaleInput({
    detector,
    nowMs: monotonicNowMs,
    ...(paused !== undefined && { paused }),
  });
}

export function createStaleInput(options: StaleInputOptions): StaleInput {
  /** When the process last ran before the pause; undefined if input is fresh. */
  let pausedAtMs: number | undefined;
  let remainingTurns = 0;
  let timer: NodeJS.Timeout | undefined;

  function countTurn(): void {
    remainingTurns -= 1;
    if (remainingTurns > 0) {
      setImmediate(countTurn);
      return;
    }
    clearTimeout(timer);
    timer = setTimeout(() => pausedAtMs = undefined, STALE_INPUT_WINDOW_MS);
  }

  function startStaleWindow(pauseMs: number): void {
    const resumedAtMs = options.nowMs();
    pausedAtMs = Math.min(pausedAtMs ?? resumedAtMs, resumedAtMs - pauseMs);
    clearTimeout(timer);
    if (remainingTurns <= 0) setImmediate(countTurn);
    remainingTurns = STALE_TURNS;
    options.paused?.(pauseMs);
  }

  return {
    check() {
      const pauseMs = options.detector.takePauseMs();
      if (pauseMs > 0) startStaleWindow(pauseMs);
    },
    maxAgeMs: () => pausedAtMs === undefined ? 0 : options.nowMs() - pausedAtMs,
  };
}
