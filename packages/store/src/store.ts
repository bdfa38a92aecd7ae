/**
 * Interface of the platform's key-value service. The service has little
 * capacity, has outages, and may lose a response after a write took effect, so
 * the error of a failed write says whether it may have taken effect.
 */
import type { ResultAsync } from "neverthrow";
import type { StoreUnavailable } from "@coltsfootreach/errors";

/** A key with its value and the revision of its last change. */
export interface VersionedValue {
  readonly key: string;
  readonly value: string;
  /** Revision of the store at the key's last change; 0 for an absent key. */
  readonly revision: number;
}

/** All keys with a prefix at one revision of the store. */
export interface Listing {
  readonly values: readonly VersionedValue[];
  /** Revision of the store that was read; start a watch at the next one. */
  readonly revision: number;
}

/** Result of a compare-and-swap. */
export type Swap =
  | { readonly kind: "swapped"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: VersionedValue | undefined };

export interface Write {
  readonly key: string;
  readonly value: string;
  /** The key's required current revision; 0 if it must be absent. */
  readonly expectedRevision: number;
  /** The key is deleted when this lease expires or is revoked. */
  readonly lease?: Lease | undefined;
}

export interface Lease {
  readonly id: string;
  readonly ttlSeconds: number;
}

/** A change of a watched key; `value` is undefined for a deletion. */
export interface Change {
  readonly key: string;
  readonly value?: string | undefined;
  readonly revision: number;
}

export interface Watch {
  /** Stops the watch; the listener is not called afterwards. */
  close(): void;
}

export interface WatchListener {
  /** Called for each change, in revision order. */
  changed(change: Change): void;
  /** All changes up to now have been reported. */
  confirmed?(): void;
  /** The watch failed; changes since the last reported one may be missed. */
  ended(): void;
}

/** Every call is bounded by the timeout in the store's options. */
export interface Store {
  /** Linearizable read of one key. */
  read(key: string): ResultAsync<VersionedValue | undefined, StoreUnavailable>;
  /** Linearizable read of all keys with a prefix. */
  list(prefix: string): ResultAsync<Listing, StoreUnavailable>;
  /** Serializable read of all keys with a prefix; cheap, may be seconds old. */
  listStale(prefix: string): ResultAsync<Listing, StoreUnavailable>;
  swap(write: Write): ResultAsync<Swap, StoreUnavailable>;
  /** Deletes a key unless it has changed since `expectedRevision`. */
  remove(
    key: string,
    expectedRevision: number,
  ): ResultAsync<Swap, StoreUnavailable>;
  grant(ttlSeconds: number): ResultAsync<Lease, StoreUnavailable>;
  /** False if the lease has already expired. */
  renew(lease: Lease): ResultAsync<boolean, StoreUnavailable>;
  revoke(lease: Lease): ResultAsync<void, StoreUnavailable>;
  /** Watches all keys with a prefix, starting at revision `from`. */
  watch(prefix: string, from: number, listener: WatchListener): Watch;
  /** Number of calls made so far, by kind; an open watch counts as one. */
  calls(): Readonly<Record<StoreCall, number>>;
}

export type StoreCall =
  | "read"
  | "swap"
  | "grant"
  | "renew"
  | "revoke"
  | "watch";
