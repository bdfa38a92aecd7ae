/**
 * Repeats a task. A run that fails is logged and followed by the next one, so
 * that one unexpected value neither ends the process nor the repetition.
 */
import type { Log } from "@coltsfootreach/log";

export interface PeriodicOptions {
  /** Names the task in the log. */
  readonly name: string;
  readonly log: Log;
  run(): Promise<void>;
  /** Time from the end of one run to the start of the next. */
  intervalMs(): number;
}

/** Starts the first run at once. */
export function startPeriodic(options: PeriodicOptions): { stop(): void } {
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;

  async function runOnce(): Promise<void> {
    try {
      await options.run();
    } catch (error) {
      options.log.error(`${options.name} failed; it will be repeated`, {
        reason: String(error),
      });
    }
    if (!isStopped) timer = setTimeout(runOnce, options.intervalMs());
  }

  runOnce();
  return {
    stop() {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
