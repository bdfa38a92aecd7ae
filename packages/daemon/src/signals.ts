/** Ends the process in order on SIGTERM and SIGINT. */
import process from "node:process";

/**
 * Until `stopOnSignal`, a signal ends the process at once with 0: a process that
 * still waits to join holds nothing for others.
 */
let stopProcess = () => Promise.resolve();

let isStopping = false;

export function handleSignals(): void {
  async function end(): Promise<void> {
    if (isStopping) return;
    isStopping = true;
    await stopProcess();
    process.exit(0);
  }

  process.on("SIGTERM", end);
  process.on("SIGINT", end);
}

export function stopOnSignal(stop: () => Promise<void>): void {
  stopProcess = stop;
}
