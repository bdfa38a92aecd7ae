/** Logs when a dependency becomes unreachable and when it is reachable again. */
import type { Log } from "@coltsfootreach/log";

export interface ReachabilityLog {
  reached(): void;
  /** May be called repeatedly; only the first call of an outage is logged. */
  lost(reason: string): void;
}

export function createReachabilityLog(
  log: Log,
  dependency: string,
): ReachabilityLog {
  let isReachable: boolean | undefined;
  return {
    reached() {
      if (isReachable === true) return;
      isReachable = true;
      log.info(`${dependency} is reachable`);
    },
    lost(reason) {
      if (isReachable === false) return;
      isReachable = false;
      log.warn(`${dependency} is unreachable`, { reason });
    },
  };
}
