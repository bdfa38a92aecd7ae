/**
 * Bounds the history: drops records beyond the limit, and the parts that no
 * kept version refers to. What could not be dropped is left for the next time.
 */
import type { Store } from "@coltsfootreach/store";
import type { ConfigurationKeys } from "./keys.ts";
import { type ConfigurationRecord, parseRecord } from "./record.ts";

export interface PruneOptions {
  readonly store: Store;
  readonly keys: ConfigurationKeys;
  readonly newest: ConfigurationRecord;
  /** Versions kept besides the newest. */
  readonly limit: number;
}

interface KeptRecord {
  readonly key: string;
  readonly revision: number;
  readonly record: ConfigurationRecord;
}

export async function pruneHistory(options: PruneOptions): Promise<void> {
  const { store, keys, newest, limit } = options;
  const listed = await store.list(keys.histories);
  if (listed.isErr()) return;
  const records = listed.value.values.flatMap(({ key, value, revision }) =>
    parseRecord(key, value)
      .match((record): KeptRecord[] => [{ key, revision, record }], () => [])
  );
  const oldest = newest.version - limit;
  const dropped = records.filter(({ record }) => record.version < oldest);
  const kept = records.filter(({ record }) => record.version >= oldest);
  const needed = partKeys([newest, ...kept.map(({ record }) => record)]);
  for (const { key, revision, record } of dropped) {
    await dropParts(store, record, needed);
    await store.remove(key, revision);
  }
}

async function dropParts(
  store: Store,
  record: ConfigurationRecord,
  needed: ReadonlySet<string>,
): Promise<void> {
  for (const { key } of record.parts) {
    if (needed.has(key)) continue;
    const part = await store.read(key);
    const revision = part.isOk() ? part.value?.revision : undefined;
    if (revision !== undefined) await store.remove(key, revision);
  }
}

function partKeys(
  records: readonly ConfigurationRecord[],
): ReadonlySet<string> {
  return new Set(records.flatMap(({ parts }) => parts.map(({ key }) => key)));
}
