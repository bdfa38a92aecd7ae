/**
 * Keeps an entry in the table of entries: joins by compare-and-swap, holds a
 * lease in the store, follows the table, and removes members whose lease has
 * lapsed.
 */
import { createConfigurationKeys } from "@coltsfootreach/configure";
import type { Log } from "@coltsfootreach/log";
import type { StoreStatus } from "@coltsfootreach/manage";
import {
  draining,
  isMember,
  joined,
  left,
  without,
  withoutEarlierRuns,
} from "@coltsfootreach/ownership";
import {
  decodeTaggedValue,
  type Lease,
  type Store,
  swapIdempotently,
  type VersionedTaggedValue,
  type VersionedValue,
  type Watch,
} from "@coltsfootreach/store";
import { EMPTY_TABLE, type Member, type Table } from "@coltsfootreach/types";
import { err, ok } from "neverthrow";

/** How often the table is read while sides need it to be confirmed. */
const READ_INTERVAL_MS = 1000;

/** Reads that are left out between two while all is quiet. */
const QUIET_SKIPS = 9;

/** Pause before a failed call is tried again. */
const RETRY_MS = 250;

const MS_PER_SECOND = 1000;

export interface MembershipOptions<Token> {
  readonly store: Store;
  readonly prefix: string;
  readonly member: Member;
  readonly leaseSeconds: number;
  readonly renewMs: number;
  readonly log: Log;
  /** Called before a read begins; its result is given back with the table. */
  /** The lease cannot lapse within this time from when it was asked for. */
  leaseHeld(askedAtMs: number): void;
  beginRead(): Token;
  tableRead(table: Table, token: Token): void;
  tableLearned(table: Table): void;
  /** The configuration's key has changed, or may have. */
  configurationChanged(found: VersionedValue | undefined): void;
  /** True while sides are confirmed without reads of the store. */
  isQuiet(): boolean;
  /** True when an operator has stopped automatic takeovers. */
  isTakeoverHeld(): boolean;
}

export interface Membership {
  /** Removes an entry whose process has ended, unless takeovers are held. */
  removeEnded(entry: string): Promise<void>;
  /** Removes entries that an operator has declared gone. */
  remove(incarnations: ReadonlySet<string>): Promise<void>;
  /** Resolves once this entry is a member. */
  join(): Promise<void>;
  /** Gives up this entry's keys; false when the store cannot say so. */
  drain(): Promise<boolean>;
  leave(): Promise<void>;
  /** A held takeover that has been released since is carried out. */
  rulesChanged(): void;
  /** Whether the store answered the last read or renewal. */
  storeStatus(): StoreStatus;
  /** Ends without a word to the store, for an entry that was removed. */
  close(): void;
}

export function createMembership<Token>(
  options: MembershipOptions<Token>,
): Membership {
  const { store, member, log, prefix } = options;
  const configurationKey = createConfigurationKeys(prefix).head;
  const tableKey = `${prefix}table`;
  const livePrefix = `${prefix}entries/`;
  const liveKey = livePrefix + member.incarnation;
  /** Granted, but perhaps not yet behind this entry's key. */
  let granted: Lease | undefined;
  let lease: Lease | undefined;
  let watch: Watch | undefined;
  let isClosed = false;
  let skipped = 0;
  let status: StoreStatus = { reachable: true, sinceMs: Date.now() };
  let lapseCheck: NodeJS.Timeout | undefined;
  let isTakeoverDue = false;
  /** After an outage others get this long to renew their leases. */
  const graceMs = options.leaseSeconds * MS_PER_SECOND + options.renewMs;
  const timers: NodeJS.Timeout[] = [];

  /** The table after the change; undefined when that is not certain. */
  async function changeTable(
    change: (table: Table) => Table,
  ): Promise<Table | undefined> {
    const outcome = await swapIdempotently(store, tableKey, {
      decide(current) {
        const table = tableOf(current);
        const next = change(table);
        return next === table
          ? err(new Unchanged(table))
          : ok(JSON.stringify(next));
      },
    });
    if (outcome.isErr()) {
      const { error } = outcome;
      return error instanceof Unchanged ? error.table : undefined;
    }
    if (outcome.value.kind !== "accepted") return undefined;
    return JSON.parse(outcome.value.body) as Table;
  }

  async function persist(
    change: (table: Table) => Table,
  ): Promise<Table> {
    for (;;) {
      const table = await changeTable(change);
      if (table !== undefined) return table;
      await sleep(RETRY_MS);
    }
  }

  async function hold(): Promise<void> {
    const askedAtMs = performance.now();
    const isNew = granted === undefined;
    if (granted === undefined) {
      const answer = await store.grant(options.leaseSeconds);
      if (answer.isErr()) return;
      granted = answer.value;
    }
    const written = await store.swap({
      key: liveKey,
      value: member.name,
      expectedRevision: 0,
      lease: granted,
    });
    // A conflict means that an earlier write took effect without an answer.
    if (written.isOk()) lease = granted;
    if (lease !== undefined && isNew) options.leaseHeld(askedAtMs);
  }

  function dropLease(): void {
    lease = undefined;
    granted = undefined;
  }

  async function renew(): Promise<void> {
    if (lease === undefined) return await hold();
    const askedAtMs = performance.now();
    const renewed = await store.renew(lease);
    noteStore(renewed.isOk());
    if (renewed.isErr()) return;
    if (renewed.value) options.leaseHeld(askedAtMs);
    else dropLease();
  }

  function noteStore(reachable: boolean): void {
    if (reachable === status.reachable) return;
    status = { reachable, sinceMs: Date.now() };
    if (reachable) log.info("the store answers again");
    else log.warn("the store does not answer");
  }

  async function read(): Promise<void> {
    const token = options.beginRead();
    const found = await store.read(tableKey);
    noteStore(found.isOk());
    if (found.isErr() || isClosed) return;
    options.tableRead(tableOf(decodeTaggedValue(found.value)), token);
  }

  async function readIfNeeded(): Promise<void> {
    skipped += 1;
    if (options.isQuiet() && skipped <= QUIET_SKIPS) return;
    skipped = 0;
    await read();
  }

  /** Removes the members of the table that hold no lease. */
  async function removeLapsed(): Promise<void> {
    if (isClosed) return;
    isTakeoverDue = options.isTakeoverHeld();
    if (isTakeoverDue) return;
    const graceLeftMs = status.reachable
      ? status.sinceMs + graceMs - Date.now()
      : graceMs;
    if (graceLeftMs > 0) return planLapseCheck(graceLeftMs);
    const table = await store.read(tableKey);
    const live = await store.list(livePrefix);
    if (table.isErr() || live.isErr()) return planLapseCheck(RETRY_MS);
    const names = new Set(
      live.value.values.map(({ key }) => key.slice(livePrefix.length)),
    );
    const lapsed = tableOf(decodeTaggedValue(table.value)).members
      .map(({ incarnation }) => incarnation)
      .filter((incarnation) =>
        incarnation !== member.incarnation && !names.has(incarnation)
      );
    if (lapsed.length === 0) return;
    // Whoever has lost its own lease cannot judge the others'.
    if (!names.has(member.incarnation)) return planLapseCheck(RETRY_MS);
    log.warn("removing entries whose lease has lapsed", {
      figures: { entries: lapsed.length },
    });
    const changed = await changeTable((now) =>
      isMember(now, member.incarnation) ? without(now, new Set(lapsed)) : now
    );
    if (changed === undefined) planLapseCheck(RETRY_MS);
    else options.tableLearned(changed);
  }

  function planLapseCheck(afterMs: number): void {
    clearTimeout(lapseCheck);
    lapseCheck = setTimeout(() => void removeLapsed(), afterMs);
  }

  function follow(from: number): void {
    if (isClosed) return;
    watch = store.watch(prefix, from, {
      changed(change) {
        const { key, value, revision } = change;
        if (value !== undefined) noteChange({ key, value, revision });
        const isLapse = change.key.startsWith(livePrefix) &&
          change.value === undefined;
        if (!isLapse) return;
        if (change.key === liveKey) dropLease();
        void removeLapsed();
      },
      ended() {
        timers.push(setTimeout(startFollowing, RETRY_MS));
      },
    });
  }

  function noteChange(found: VersionedValue): void {
    if (found.key === tableKey) {
      options.tableLearned(tableOf(decodeTaggedValue(found)));
    } else if (found.key === configurationKey) {
      options.configurationChanged(found);
    }
  }

  async function startFollowing(): Promise<void> {
    if (isClosed) return;
    const listed = await store.list(prefix);
    if (listed.isErr()) {
      timers.push(setTimeout(startFollowing, RETRY_MS));
      return;
    }
    follow(listed.value.revision + 1);
    options.configurationChanged(undefined);
    await read();
    await removeLapsed();
  }

  function repeat(task: () => Promise<void>, everyMs: number): void {
    let busy = false;
    timers.push(setInterval(async () => {
      if (busy || isClosed) return;
      busy = true;
      await task();
      busy = false;
    }, everyMs));
  }

  return {
    async join() {
      while (lease === undefined) {
        await hold();
        if (lease === undefined) await sleep(RETRY_MS);
      }
      status = { reachable: true, sinceMs: Date.now() };
      // Others take over from an earlier run before this one joins them.
      await persist((now) => withoutEarlierRuns(now, member));
      const table = await persist((now) => joined(now, member));
      log.info("joined", { tableVersion: table.version });
      options.tableLearned(table);
      repeat(renew, options.renewMs);
      repeat(readIfNeeded, READ_INTERVAL_MS);
      void startFollowing();
    },
    async drain() {
      const table = await changeTable((now) =>
        draining(now, member.incarnation)
      );
      if (table !== undefined) options.tableLearned(table);
      return table !== undefined;
    },
    async removeEnded(entry) {
      isTakeoverDue ||= options.isTakeoverHeld();
      if (isTakeoverDue) return;
      log.warn("removing an entry whose process has ended", { entry });
      await this.remove(new Set([entry]));
    },
    async remove(incarnations) {
      const table = await changeTable((now) => without(now, incarnations));
      if (table !== undefined) options.tableLearned(table);
    },
    async leave() {
      await changeTable((now) => left(now, member.incarnation));
      this.close();
      if (lease !== undefined) await store.revoke(lease);
    },
    rulesChanged() {
      if (isTakeoverDue && !options.isTakeoverHeld()) void removeLapsed();
    },
    storeStatus: () => status,
    close() {
      isClosed = true;
      clearTimeout(lapseCheck);
      watch?.close();
      for (const timer of timers) clearTimeout(timer);
    },
  };
}

/** Says that the table needs no change, and what it is. */
class Unchanged extends Error {
  constructor(readonly table: Table) {
    super("the table needs no change");
  }
}

function tableOf(current: VersionedTaggedValue | undefined): Table {
  if (current === undefined) return EMPTY_TABLE;
  return JSON.parse(current.body) as Table;
}

function sleep(ms: number): Promise<void> {
  return new Promise((wake) => setTimeout(wake, ms));
}
