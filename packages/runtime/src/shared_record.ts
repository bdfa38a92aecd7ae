/**
 * Persists the entries' estimates in the store, for entries that start after an
 * outage without any observations. Every entry reads the record when it starts;
 * a single entry writes it.
 */
import type { Log } from "@coltsfootreach/log";
import type { Store, VersionedValue } from "@coltsfootreach/store";
import { startPeriodic } from "./periodic.ts";

/** Estimated values by name. */
export type EstimateTable = Readonly<Record<string, number>>;

/** Derives estimates from observations, such as callers' usual timeouts. */
export interface Estimator {
  table(): EstimateTable;
  adopt(table: EstimateTable): void;
}

/** Interval at which the writing entry synchronizes the record. */
const SYNC_INTERVAL_MS = 5000;

/** Interval at which a starting entry retries until it has read the record. */
const INITIAL_READ_INTERVAL_MS = 500;

/** Maximum number of estimates that are taken from the record. */
const MAX_ESTIMATES = 500;

/** Callers wait for an hour at most; the estimates are in milliseconds. */
const MAX_ESTIMATE = 3_600_000;

/** Smaller relative changes are not written. */
const MIN_RELATIVE_CHANGE = 0.1;

export interface SharedRecordOptions {
  readonly store: Store;
  readonly key: string;
  readonly estimator: Estimator;
  readonly log: Log;
  /** True for one entry of the fleet. */
  isWriter(): boolean;
}

export function syncSharedRecord(
  options: SharedRecordOptions,
): { stop(): void } {
  const { store, key, estimator, log } = options;
  let isStopped = false;
  let hasRead = false;

  async function runCycle(): Promise<void> {
    if (!hasRead || options.isWriter()) await sync();
  }

  async function sync(): Promise<void> {
    const listing = await store.listStale(key);
    // Membership already logs that the store is unreachable.
    if (listing.isErr()) return;
    const item = listing.value.values.find((candidate) =>
      candidate.key === key
    );
    const recorded = item === undefined ? {} : decode(item);
    estimator.adopt(recorded);
    hasRead = true;
    const table = estimator.table();
    const isWriteNeeded = options.isWriter() && hasChanged(recorded, table);
    if (isWriteNeeded && !isStopped) await write(table, item);
  }

  async function write(
    table: EstimateTable,
    previous: VersionedValue | undefined,
  ): Promise<void> {
    const swapped = await store.swap({
      key,
      value: JSON.stringify(table),
      expectedRevision: previous?.revision ?? 0,
    });
    // After a conflict, the next sync compares with the other entry's write.
    if (swapped.isOk()) return;
    log.warn("write of the shared record was not confirmed", {
      reason: swapped.error.message,
    });
  }

  function decode(item: VersionedValue): EstimateTable {
    try {
      return selectEstimates(JSON.parse(item.value));
    } catch (error) {
      log.warn("shared record is invalid and was ignored", {
        reason: `${key}: ${error}`,
      });
      return {};
    }
  }

  const cycle = startPeriodic({
    name: "synchronization of the shared record",
    log,
    run: runCycle,
    intervalMs: () => hasRead ? SYNC_INTERVAL_MS : INITIAL_READ_INTERVAL_MS,
  });
  return {
    stop() {
      isStopped = true;
      cycle.stop();
    },
  };
}

/** Selects the estimates that can be right; another program may have written. */
function selectEstimates(document: unknown): EstimateTable {
  const pairs = Object.entries(document ?? {}).filter(([, value]) =>
    typeof value === "number" && value > 0 && value <= MAX_ESTIMATE
  );
  return Object.fromEntries(pairs.slice(0, MAX_ESTIMATES));
}

function hasChanged(recorded: EstimateTable, current: EstimateTable): boolean {
  return Object.entries(current).some(([name, value]) => {
    const recordedValue = recorded[name];
    if (recordedValue === undefined) return true;
    return Math.abs(value - recordedValue) >
      recordedValue * MIN_RELATIVE_CHANGE;
  });
}
