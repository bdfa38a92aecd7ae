/** The platform's key-value service as the system uses it. */
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
  type OwnedValue,
  type OwnedWrite,
} from "./owned_value.ts";
export {
  type OwnedSwap,
  settleOwned,
  swapOwned,
  type SwapOwnedOptions,
} from "./swap_owned.ts";
