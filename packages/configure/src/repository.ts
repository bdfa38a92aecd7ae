/**
 * Reads configuration versions from the key-value service. Caches the parts of
 * the last long text, so that the next read fetches only the parts that differ.
 */
import { errAsync, okAsync, type Result, ResultAsync } from "neverthrow";
import { InvalidFile, type StoreUnavailable } from "@coltsfootreach/errors";
import {
  decodeTaggedValue,
  type Store,
  type VersionedTaggedValue,
  type VersionedValue,
} from "@coltsfootreach/store";
import type { Configuration } from "@coltsfootreach/types";
import type { ConfigurationKeys } from "./keys.ts";
import {
  type ConfigurationRecord,
  digestOf,
  parseRecord,
  type PartReference,
} from "./record.ts";

export type ReadError = StoreUnavailable | InvalidFile;

/** The version in force and the revision of the head key. */
export interface Head {
  readonly record: ConfigurationRecord;
  readonly revision: number;
}

export interface ConfigurationRepository {
  /** The version in force; undefined before the first. */
  readHead(): ResultAsync<Head | undefined, ReadError>;
  /** The configuration in force; undefined before the first. */
  readCurrent(): ResultAsync<Configuration | undefined, ReadError>;
  /** The record of a version; undefined if it is not kept. */
  readVersion(
    version: number,
  ): ResultAsync<ConfigurationRecord | undefined, ReadError>;
  /** Kept versions in descending order, starting with the one in force. */
  readHistory(): ResultAsync<readonly ConfigurationRecord[], ReadError>;
  /** The text of a record, assembled from its parts if necessary. */
  readText(record: ConfigurationRecord): ResultAsync<Configuration, ReadError>;
  /** Reads the configuration that a value of the head key refers to. */
  resolve(found: VersionedValue): ResultAsync<Configuration, ReadError>;
}

export interface RepositoryOptions {
  readonly store: Store;
  readonly keys: ConfigurationKeys;
}

export function createConfigurationRepository(
  { store, keys }: RepositoryOptions,
): ConfigurationRepository {
  let partsByDigest: ReadonlyMap<string, string> = new Map();

  function readHead(): ResultAsync<Head | undefined, ReadError> {
    return store.read(keys.head).andThen<Head | undefined, ReadError>(
      (found) => {
        const owned = decodeTaggedValue(found);
        return owned === undefined ? okAsync(undefined) : parseHead(owned);
      },
    );
  }

  function readCurrent(): ResultAsync<Configuration | undefined, ReadError> {
    return readHead().andThen<Configuration | undefined, ReadError>((head) =>
      head === undefined ? okAsync(undefined) : readText(head.record)
    );
  }

  function parseHead(owned: VersionedTaggedValue): Result<Head, InvalidFile> {
    return parseRecord(keys.head, owned.body)
      .map((record) => ({ record, revision: owned.revision }));
  }

  function readVersion(
    version: number,
  ): ResultAsync<ConfigurationRecord | undefined, ReadError> {
    return readHead().andThen((head) =>
      head?.record.version === version
        ? okAsync(head.record)
        : readHistoryRecord(version)
    );
  }

  function readHistoryRecord(
    version: number,
  ): ResultAsync<ConfigurationRecord | undefined, ReadError> {
    const key = keys.history(version);
    return store.read(key).andThen<
      ConfigurationRecord | undefined,
      ReadError
    >((found) =>
      found === undefined ? okAsync(undefined) : parseRecord(key, found.value)
    );
  }

  function readHistory(): ResultAsync<
    readonly ConfigurationRecord[],
    ReadError
  > {
    return readHead().andThen((head) => {
      if (head === undefined) return okAsync([]);
      return store.list(keys.histories).map(({ values }) => {
        const older = values.flatMap(({ key, value }) =>
          parseRecord(key, value).match((record) => [record], () => [])
        ).filter((record) => record.version < head.record.version);
        older.sort((a, b) => b.version - a.version);
        return [head.record, ...older];
      });
    });
  }

  function readText(
    record: ConfigurationRecord,
  ): ResultAsync<Configuration, ReadError> {
    const text = record.text === undefined
      ? readParts(record.parts)
      : okAsync<string, ReadError>(record.text);
    return text.andThen((fullText) => {
      if (digestOf(fullText) === record.digest) {
        return okAsync({ version: record.version, text: fullText });
      }
      const source = `configuration ${record.version}`;
      return errAsync(
        new InvalidFile(source, "digest", "does not match the text"),
      );
    });
  }

  function readParts(
    references: readonly PartReference[],
  ): ResultAsync<string, ReadError> {
    return ResultAsync.combine(references.map(readPart)).map((parts) => {
      partsByDigest = new Map(
        parts.map((part, position) => [references[position]!.digest, part]),
      );
      return parts.join("");
    });
  }

  function readPart(
    { key, digest }: PartReference,
  ): ResultAsync<string, ReadError> {
    const cached = partsByDigest.get(digest);
    if (cached !== undefined) return okAsync(cached);
    return store.read(key).andThen<string, ReadError>((found) =>
      found === undefined
        ? errAsync(new InvalidFile(key, "value", "part is missing"))
        : okAsync(found.value)
    );
  }

  return {
    readHead,
    readCurrent,
    readVersion,
    readHistory,
    readText,
    resolve: (found) =>
      parseRecord(keys.head, decodeTaggedValue(found)!.body)
        .asyncAndThen<Configuration, ReadError>(readText),
  };
}
