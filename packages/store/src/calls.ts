/** Counters of calls to the key-value service, by kind. */
import type { StoreCall } from "./store.ts";

export function zeroCallCounts(): Record<StoreCall, number> {
  return { read: 0, swap: 0, grant: 0, renew: 0, revoke: 0, watch: 0 };
}
