/**
 * Bounds the history: removes records beyond the limit, and the parts that no
 * kept version refers to. Failed removals are left to the next run.
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

interface StoredRecord {
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
      .match((record): StoredRecord[] => [{ key, revision, record }], () => [])
  );
  const oldestKeptVersion = newest.version - limit;
  const expired = records.filter(({ record }) =>
    record.version < oldestKeptVersion
  );
  const kept = records.filter(({ record }) =>
    record.version >= oldestKeptVersion
  );
  const referencedKeys = partKeys([
    newest,
    ...kept.map(({ record }) => record),
  ]);
  for (const { key, revision, record } of expired) {
    await removeParts(store, record, referencedKeys);
    await store.remove(key, revision);
  }
}

async function removeParts(
  store: Store,
  record: ConfigurationRecord,
  referencedKeys: ReadonlySet<string>,
): Promise<void> {
  for (const { key } of record.parts) {
    if (referencedKeys.has(key)) continue;
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
