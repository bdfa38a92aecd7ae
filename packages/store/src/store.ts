/**
 * What the system needs from the platform's key-value service. The service is
 * small, has outages, and may lose an answer after a write took effect, so a
 * write that fails says whether it may have happened.
 */
import type { ResultAsync } from "neverthrow";
import type { StoreUnavailable } from "@coltsfootreach/errors";

/** A key's value and the revision of its last change. */
export interface Versioned {
  readonly key: string;
  readonly value: string;
  /** Revision of the store at the key's last change; 0 for an absent key. */
  readonly revision: number;
}

/** All keys of a prefix at one revision of the store. */
export interface Listing {
  readonly values: readonly Versioned[];
  /** Revision of the store at the reading; a watch goes on from the next. */
  readonly revision: number;
}

/** The outcome of a compare-and-swap. */
export type Swap =
  | { readonly kind: "swapped"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: Versioned | undefined };

export interface Write {
  readonly key: string;
  readonly value: string;
  /** The revision that the key must still have; 0 when it must be absent. */
  readonly expectedRevision: number;
  /** The key disappears when this lease lapses. */
  readonly lease?: Lease | undefined;
}

export interface Lease {
  readonly id: string;
  readonly ttlSeconds: number;
}

/** A change of a watched key; `value` is absent after a deletion. */
export interface Change {
  readonly key: string;
  readonly value?: string | undefined;
  readonly revision: number;
}

export interface Watch {
  /** Ends the watch; no change is reported afterwards. */
  close(): void;
}

export interface WatchListener {
  /** Called for each change, in the order of their revisions. */
  changed(change: Change): void;
  /** The watch is gone; changes since the last one may have been missed. */
  ended(): void;
}

/** Every call is bounded by a timeout from the store's options. */
export interface Store {
  /** Reads one key; linearizable. */
  read(key: string): ResultAsync<Versioned | undefined, StoreUnavailable>;
  /** Reads all keys with a prefix; linearizable. */
  list(prefix: string): ResultAsync<Listing, StoreUnavailable>;
  /** Reads all keys with a prefix; cheaper, and may be seconds old. */
  listStale(prefix: string): ResultAsync<Listing, StoreUnavailable>;
  swap(write: Write): ResultAsync<Swap, StoreUnavailable>;
  /** Deletes a key unless it has changed since `expectedRevision`. */
  remove(
    key: string,
    expectedRevision: number,
  ): ResultAsync<Swap, StoreUnavailable>;
  grant(ttlSeconds: number): ResultAsync<Lease, StoreUnavailable>;
  /** True while the lease lives; false once it has lapsed. */
  renew(lease: Lease): ResultAsync<boolean, StoreUnavailable>;
  revoke(lease: Lease): ResultAsync<void, StoreUnavailable>;
  /** Watches a key prefix from the given revision on. */
  watch(prefix: string, from: number, listener: WatchListener): Watch;
  /** Calls made so far, by kind; a waiting watch counts as one. */
  calls(): Readonly<Record<StoreCall, number>>;
}

export type StoreCall =
  | "read"
  | "swap"
  | "grant"
  | "renew"
  | "revoke"
  | "watch";
