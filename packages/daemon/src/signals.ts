/** Shuts the process down gracefully on SIGTERM and SIGINT. */
import process from "node:process";

/**
 * Does nothing until `setShutdownHandler` is called, so a signal exits at once
 * with status 0: a process that has not joined yet holds no work of others.
 */
let shutdownHandler = () => Promise.resolve();

let isStopping = false;

export function installSignalHandlers(): void {
  async function shutDown(): Promise<void> {
    if (isStopping) return;
    isStopping = true;
    await shutdownHandler();
    process.exit(0);
  }

  process.on("SIGTERM", shutDown);
  process.on("SIGINT", shutDown);
}

export function setShutdownHandler(handler: () => Promise<void>): void {
  shutdownHandler = handler;
}
