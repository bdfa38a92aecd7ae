/** Logs a line when a dependency is lost, and one when it is regained. */
import type { Log } from "@coltsfootreach/log";

export interface Reachability {
  reached(): void;
  /** May be called again and again; only the first loss is logged. */
  lost(reason: string): void;
}

export function createReachability(
  log: Log,
  dependency: string,
): Reachability {
  let isReachable: boolean | undefined;
  return {
    reached() {
      if (isReachable === true) return;
      isReachable = true;
      log.info(`${dependency} reached`);
    },
    lost(reason) {
      if (isReachable === false) return;
      isReachable = false;
      log.warn(`${dependency} lost`, { reason });
    },
  };
}
