/** Client for the platform's key-value service. */
export * from "./store.ts";
export { zeroCallCounts } from "./calls.ts";
export {
  createEtcdStore,
  type EtcdStore,
  type EtcdStoreOptions,
} from "./etcd_store.ts";
export {
  decodeTaggedValue,
  type TaggedValue,
  type TaggedWrite,
  type VersionedTaggedValue,
} from "./tagged_value.ts";
export {
  type IdempotentSwap,
  type IdempotentSwapOptions,
  resolveUnknownSwap,
  swapIdempotently,
} from "./idempotent_swap.ts";
