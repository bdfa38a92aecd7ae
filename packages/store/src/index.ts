/** Client for the platform's key-value service. */
export * from "./store.ts";
export { noCalls } from "./calls.ts";
export {
  createEtcdStore,
  type EtcdStore,
  type EtcdStoreOptions,
} from "./etcd_store.ts";
export {
  decodeOwned,
  type Owned,
  type TaggedValue,
  type TaggedWrite,
} from "./tagged_value.ts";
export {
  type IdempotentSwap,
  type IdempotentSwapOptions,
  resolveUnknownSwap,
  swapOwned,
} from "./idempotent_swap.ts";
