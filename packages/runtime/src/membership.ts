/**
 * Service discovery through the store: entries discover each other, and sides
 * discover entries. An entry registers a key with a lease. Sides don't register,
 * so that the store's load for registrations doesn't grow with their number.
 */
import type { Log } from "@coltsfootreach/log";
import type { StoreUnavailable } from "@coltsfootreach/errors";
import type {
  Lease,
  Listing,
  Store,
  VersionedValue,
} from "@coltsfootreach/store";
import type { ResultAsync } from "neverthrow";
import { createEntryAddresses } from "./entry_addresses.ts";
import { hedgedRead } from "./hedge.ts";
import { startPeriodic } from "./periodic.ts";
import { createReachabilityLog } from "./reachability.ts";

const ENTRY_KEY_PREFIX = "entries/";

const LEASE_TTL_SECONDS = 4;

/** Interval for reading the list of entries and renewing the lease. */
const REFRESH_INTERVAL_MS = 1000;

/** Shorter interval until the entry has registered: nobody finds it before. */
const UNREGISTERED_INTERVAL_MS = 200;

/** Consecutive reads without the entry's own key before it registers again. */
const MISSING_READS_LIMIT = 2;

export interface MembershipOptions {
  readonly store: Store;
  readonly name: string;
  /** Address at which sides reach this entry, as `IP:port`. */
  readonly address: string;
  readonly log: Log;
  /** Called with the sorted addresses whenever the list changes. */
  changed(addresses: readonly string[]): void;
}

export interface Membership {
  /** Revokes the lease, which removes the entry from the list. */
  leave(): Promise<void>;
}

export function joinMembership(options: MembershipOptions): Membership {
  const { store, log } = options;
  const key = ENTRY_KEY_PREFIX + options.name;
  let lease: Lease | undefined;
  let isRegistered = false;
  let missingReads = 0;
  let lastAddresses = "";
  const reachability = createReachabilityLog(log, "store");
  const entryAddresses = createEntryAddresses(log);

  async function renew(): Promise<void> {
    if (lease === undefined) return;
    const renewed = await store.renew(lease);
    if (renewed.isErr()) return;
    if (renewed.value) return;
    log.warn("registration lease expired; registering again");
    lease = undefined;
    isRegistered = false;
  }

  async function register(): Promise<void> {
    if (lease === undefined) {
      const granted = await store.grant(LEASE_TTL_SECONDS);
      if (granted.isErr()) return;
      lease = granted.value;
    }
    const current = await store.read(key);
    if (current.isErr()) return;
    const swapped = await store.swap({
      key,
      value: options.address,
      expectedRevision: current.value?.revision ?? 0,
      lease,
    });
    if (swapped.isErr()) {
      log.warn("registration was not confirmed by the store; retrying", {
        reason: swapped.error.message,
      });
      return;
    }
    isRegistered = swapped.value.kind === "swapped";
    missingReads = 0;
    if (isRegistered) {
      log.info("entry registered in the store", { address: options.address });
    }
  }

  /** Returns false if the store did not answer. */
  async function refreshEntries(): Promise<boolean> {
    const listing = await readEntries(store);
    if (listing.isErr()) {
      reachability.lost(listing.error.message);
      return false;
    }
    reachability.reached();
    const { values } = listing.value;
    checkRegistration(values.some(isOwnRegistration));
    const addresses = entryAddresses.select(values);
    const joinedAddresses = addresses.join(",");
    if (joinedAddresses === lastAddresses) return true;
    lastAddresses = joinedAddresses;
    log.info("list of entries changed", {
      figures: { entries: addresses.length },
    });
    options.changed(addresses);
    return true;
  }

  function isOwnRegistration(item: VersionedValue): boolean {
    return item.key === key && item.value === options.address;
  }

  /** A key can disappear from the store although renewing its lease succeeds. */
  function checkRegistration(isListed: boolean): void {
    missingReads = isListed ? 0 : missingReads + 1;
    if (!isRegistered || missingReads < MISSING_READS_LIMIT) return;
    log.warn(
      "registration is missing from the store or was changed; registering again",
    );
    isRegistered = false;
    lease = undefined;
  }

  async function runCycle(): Promise<void> {
    await renew();
    const isStoreReachable = await refreshEntries();
    // A write to a store that doesn't answer would only wait for its timeout.
    if (isStoreReachable && !isRegistered) {
      await register();
      await refreshEntries();
    }
  }

  const refresh = startPeriodic({
    name: "refresh of the registration and the list of entries",
    log,
    run: runCycle,
    intervalMs: () =>
      isRegistered ? REFRESH_INTERVAL_MS : UNREGISTERED_INTERVAL_MS,
  });
  return {
    async leave() {
      refresh.stop();
      if (lease !== undefined) await store.revoke(lease);
    },
  };
}

function readEntries(store: Store): ResultAsync<Listing, StoreUnavailable> {
  return hedgedRead(() => store.listStale(ENTRY_KEY_PREFIX));
}

export interface DiscoveryOptions {
  readonly store: Store;
  readonly log: Log;
  /** True while no entry is connected, which shortens the poll interval. */
  isDisconnected(): boolean;
  found(addresses: readonly string[]): void;
}

/** Poll interval while no entry is connected. */
const DISCONNECTED_POLL_INTERVAL_MS = 300;

/** Longer while connected, since entries send their list to the sides. */
const CONNECTED_POLL_INTERVAL_MS = 5000;

/** Discovers entries for a side. */
export function discoverEntries(options: DiscoveryOptions): { stop(): void } {
  const { store, log } = options;
  const reachability = createReachabilityLog(log, "store");
  const entryAddresses = createEntryAddresses(log);
  let lastPollAtMs = -Infinity;

  async function runCycle(): Promise<void> {
    const waitMs = options.isDisconnected()
      ? DISCONNECTED_POLL_INTERVAL_MS
      : CONNECTED_POLL_INTERVAL_MS;
    if (performance.now() - lastPollAtMs >= waitMs) await poll();
  }

  async function poll(): Promise<void> {
    lastPollAtMs = performance.now();
    const listing = await readEntries(store);
    if (listing.isErr()) return reachability.lost(listing.error.message);
    reachability.reached();
    options.found(entryAddresses.select(listing.value.values));
  }

  return startPeriodic({
    name: "discovery of entries",
    log,
    run: runCycle,
    intervalMs: () => DISCONNECTED_POLL_INTERVAL_MS,
  });
}
