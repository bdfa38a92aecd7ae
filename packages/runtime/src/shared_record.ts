/**
 * Keeps in the store what entries have learnt, for those that start after an
 * outage and know nothing yet. Every entry reads it when it starts; one of them
 * writes it.
 */
import type { Log } from "@coltsfootreach/log";
import type { Store, Versioned } from "@coltsfootreach/store";

/** Numbers by name. */
export type NumberTable = Readonly<Record<string, number>>;

/** What learns, such as how much time callers usually have. */
export interface Learner {
  table(): NumberTable;
  adopt(table: NumberTable): void;
}

/** Time between looks of the entry that writes. */
const LOOK_MS = 5000;

/** Until the record has been read, an entry that starts asks this often. */
const FIRST_LOOK_MS = 500;

/** Changes of less than this share aren't written. */
const CHANGE_SHARE = 0.1;

export interface SharedRecordOptions {
  readonly store: Store;
  readonly key: string;
  readonly learner: Learner;
  readonly log: Log;
  /** True for one entry of the fleet. */
  isWriter(): boolean;
}

export function keepRecord(options: SharedRecordOptions): { stop(): void } {
  const { store, key, learner, log } = options;
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;
  let isRead = false;

  async function turn(): Promise<void> {
    if (!isRead || options.isWriter()) await look();
    if (!isStopped) timer = setTimeout(turn, isRead ? LOOK_MS : FIRST_LOOK_MS);
  }

  async function look(): Promise<void> {
    const listing = await store.listStale(key);
    // A store that is away is reported by the looks for entries.
    if (listing.isErr()) return;
    const item = listing.value.values.find((one) => one.key === key);
    const recorded = item === undefined ? {} : decode(item);
    learner.adopt(recorded);
    isRead = true;
    const table = learner.table();
    const isDue = options.isWriter() && hasChanged(recorded, table);
    if (isDue && !isStopped) await write(table, item);
  }

  async function write(
    table: NumberTable,
    before: Versioned | undefined,
  ): Promise<void> {
    const swapped = await store.swap({
      key,
      value: JSON.stringify(table),
      expectedRevision: before?.revision ?? 0,
    });
    // What another entry has written meanwhile is compared at the next look.
    if (swapped.isOk()) return;
    log.warn("record not written", { reason: swapped.error.message });
  }

  function decode(item: Versioned): NumberTable {
    try {
      return onlyNumbers(JSON.parse(item.value));
    } catch (error) {
      log.warn("record not usable", { reason: `${key}: ${error}` });
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

function onlyNumbers(document: unknown): NumberTable {
  const rows = Object.entries(document ?? {}).filter(([, value]) =>
    typeof value === "number" && value > 0
  );
  return Object.fromEntries(rows);
}

function hasChanged(before: NumberTable, after: NumberTable): boolean {
  return Object.entries(after).some(([name, value]) => {
    const known = before[name];
    if (known === undefined) return true;
    return Math.abs(value - known) > known * CHANGE_SHARE;
  });
}
