/**
 * Entries find each other, and sides find entries, through the store. An entry
 * keeps a key under a lease; sides have none, so that their number costs the
 * store nothing.
 */
import type { Log } from "@coltsfootreach/log";
import type { Lease, Store } from "@coltsfootreach/store";
import { createReachability } from "./reachability.ts";

const PREFIX = "entries/";

const LEASE_SECONDS = 4;

/** Time between looks at the list; the lease is renewed as often. */
const LOOK_MS = 1000;

/** Looks without the own key before it is written again. */
const MISSING_LOOKS = 2;

export interface MembershipOptions {
  readonly store: Store;
  readonly name: string;
  /** Where sides reach this entry, as `IP:port`. */
  readonly address: string;
  readonly log: Log;
  /** Told whenever the list changes. */
  changed(addresses: readonly string[]): void;
}

export interface Membership {
  /** Takes the entry out of the list. */
  leave(): Promise<void>;
}

export function joinEntries(options: MembershipOptions): Membership {
  const { store, log } = options;
  const key = PREFIX + options.name;
  let lease: Lease | undefined;
  let isRegistered = false;
  let missing = 0;
  let known = "";
  let isLeaving = false;
  const reachability = createReachability(log, "store");
  let timer: NodeJS.Timeout | undefined;

  async function renew(): Promise<void> {
    if (lease === undefined) return;
    const renewed = await store.renew(lease);
    if (renewed.isErr()) return;
    if (renewed.value) return;
    log.warn("registration lapsed");
    lease = undefined;
    isRegistered = false;
  }

  async function register(): Promise<void> {
    if (isRegistered) return;
    if (lease === undefined) {
      const granted = await store.grant(LEASE_SECONDS);
      if (granted.isErr()) return;
      lease = granted.value;
    }
    const before = await store.read(key);
    if (before.isErr()) return;
    const swapped = await store.swap({
      key,
      value: options.address,
      expectedRevision: before.value?.revision ?? 0,
      lease,
    });
    if (swapped.isErr()) {
      log.warn("registration not answered", { reason: swapped.error.message });
      return;
    }
    isRegistered = swapped.value.kind === "swapped";
    missing = 0;
    if (isRegistered) log.info("registered", { address: options.address });
  }

  async function look(): Promise<void> {
    const listing = await store.listStale(PREFIX);
    if (listing.isErr()) return reachability.lost(listing.error.message);
    reachability.reached();
    const { values } = listing.value;
    checkOwnKey(values.some((item) => item.key === key));
    const addresses = values.map((item) => item.value).sort();
    const text = addresses.join(",");
    if (text === known) return;
    known = text;
    log.info("entries changed", { figures: { entries: addresses.length } });
    options.changed(addresses);
  }

  /** Keys can vanish while their lease is renewed without complaint. */
  function checkOwnKey(isListed: boolean): void {
    missing = isListed ? 0 : missing + 1;
    if (!isRegistered || missing < MISSING_LOOKS) return;
    log.warn("registration vanished");
    isRegistered = false;
    lease = undefined;
  }

  async function turn(): Promise<void> {
    await renew();
    await register();
    await look();
    if (!isLeaving) timer = setTimeout(turn, LOOK_MS);
  }

  turn();
  return {
    async leave() {
      isLeaving = true;
      clearTimeout(timer);
      if (lease !== undefined) await store.revoke(lease);
    },
  };
}

export interface FinderOptions {
  readonly store: Store;
  readonly log: Log;
  /** True while more entries would be of use at once. */
  isLonely(): boolean;
  found(addresses: readonly string[]): void;
}

/** Time between looks while no entry is known... */
const LONELY_LOOK_MS = 300;

/** ...and otherwise, as entries pass on the list themselves. */
const QUIET_LOOK_MS = 5000;

/** Looks for entries on behalf of a side. */
export function findEntries(options: FinderOptions): { stop(): void } {
  const { store, log } = options;
  let timer: NodeJS.Timeout | undefined;
  const reachability = createReachability(log, "store");
  let lookedAt = -Infinity;

  async function turn(): Promise<void> {
    const waitMs = options.isLonely() ? LONELY_LOOK_MS : QUIET_LOOK_MS;
    if (performance.now() - lookedAt >= waitMs) await look();
    timer = setTimeout(turn, LONELY_LOOK_MS);
  }

  async function look(): Promise<void> {
    lookedAt = performance.now();
    const listing = await store.listStale(PREFIX);
    if (listing.isErr()) return reachability.lost(listing.error.message);
    reachability.reached();
    options.found(listing.value.values.map((item) => item.value));
  }

  turn();
  return { stop: () => clearTimeout(timer) };
}
