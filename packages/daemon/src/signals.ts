/** Ends the process in order on SIGTERM and SIGINT. */
import process from "node:process";

export function stopOnSignal(stop: () => Promise<void>): void {
  let isStopping = false;

  async function end(): Promise<void> {
    if (isStopping) return;
    isStopping = true;
    await stop();
    process.exit(0);
  }

  process.on("SIGTERM", end);
  process.on("SIGINT", end);
}
