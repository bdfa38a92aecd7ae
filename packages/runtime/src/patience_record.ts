/**
 * Keeps in the store how much time callers usually have, so that an entry that
 * has just started can tell which of them come back after an outage.
 */
import type { Patience, PatienceTable } from "@coltsfootreach/dispatch";
import type { Log } from "@coltsfootreach/log";
import type { Store, Versioned } from "@coltsfootreach/store";

const KEY = "callers/patience";

/** Time between looks; each entry waits up to twice as long. */
const LOOK_MS = 10_000;

/** Until the record has been read, an entry that starts asks this often. */
const FIRST_LOOK_MS = 500;

/** Changes of less than this share aren't written. */
const CHANGE_SHARE = 0.1;

export interface PatienceRecordOptions {
  readonly store: Store;
  readonly patience: Patience;
  readonly log: Log;
  /** Number from 0 to 1; spreads the looks of many entries. */
  random(): number;
}

export function keepPatience(
  options: PatienceRecordOptions,
): { stop(): void } {
  const { store, patience, log } = options;
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;
  let isRead = false;

  async function turn(): Promise<void> {
    await look();
    if (isStopped) return;
    const pauseMs = isRead ? LOOK_MS * (1 + options.random()) : FIRST_LOOK_MS;
    timer = setTimeout(turn, pauseMs);
  }

  async function look(): Promise<void> {
    const listing = await store.listStale(KEY);
    if (listing.isErr()) return;
    const item = listing.value.values.find(({ key }) => key === KEY);
    const recorded = item === undefined ? {} : decode(item);
    patience.adopt(recorded);
    isRead = true;
    const table = patience.table();
    if (hasChanged(recorded, table)) await write(table, item);
  }

  async function write(
    table: PatienceTable,
    before: Versioned | undefined,
  ): Promise<void> {
    const swapped = await store.swap({
      key: KEY,
      value: JSON.stringify(table),
      expectedRevision: before?.revision ?? 0,
    });
    // Another entry's record is as good; the next look compares again.
    if (swapped.isOk()) return;
    log.warn("patience of callers not recorded", {
      reason: swapped.error.message,
    });
  }

  function decode(item: Versioned): PatienceTable {
    try {
      return onlyNumbers(JSON.parse(item.value));
    } catch (error) {
      log.warn("record of patience not usable", { reason: String(error) });
      return {};
    }
  }

  turn();
  return {
    stop() {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}

function onlyNumbers(document: unknown): PatienceTable {
  const rows = Object.entries(document ?? {}).filter(([, value]) =>
    typeof value === "number" && value > 0
  );
  return Object.fromEntries(rows);
}

function hasChanged(before: PatienceTable, after: PatienceTable): boolean {
  return Object.entries(after).some(([queue, leastMs]) => {
    const known = before[queue];
    if (known === undefined) return true;
    return Math.abs(leastMs - known) > known * CHANGE_SHARE;
  });
}
