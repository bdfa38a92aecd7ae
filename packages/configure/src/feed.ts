/**
 * Resolves values of the head key to configuration versions. The entry's single
 * watch delivers changes; a refresh reads the key, for use when the watch may
 * have missed events or another process has a newer version. Failed reads are
 * retried.
 */
import type { Store, VersionedValue } from "@coltsfootreach/store";
import type { Configuration } from "@coltsfootreach/types";
import type { ConfigurationSource } from "./holder.ts";
import type { ConfigurationKeys } from "./keys.ts";
import { createConfigurationRepository, type ReadError } from "./repository.ts";

export interface FeedOptions {
  readonly store: Store;
  readonly keys: ConfigurationKeys;
  /** Delay before a failed read is retried, in milliseconds. */
  readonly retryMs: number;
  /** Parses a text in advance, so that `learned` does not block. */
  readonly prepare?:
    | ((configuration: Configuration) => Promise<void>)
    | undefined;
  /** Called with versions in any order; the holder ignores older ones. */
  learned(configuration: Configuration, source: ConfigurationSource): void;
  failed(fault: ReadError): void;
}

export interface ConfigurationFeed {
  /** Handles a value of the head key from a watch event or a list response. */
  offer(found: VersionedValue): void;
  /** Reads the head key, unless a read is already in progress. */
  refresh(): void;
  close(): void;
}

export function createConfigurationFeed(
  options: FeedOptions,
): ConfigurationFeed {
  const { learned, failed, retryMs } = options;
  const repository = createConfigurationRepository(options);
  let retryTimer: ReturnType<typeof setTimeout> | undefined;
  let isReading = false;
  let isClosed = false;

  async function handleHead(found: VersionedValue): Promise<void> {
    const resolved = await repository.resolve(found);
    if (resolved.isOk()) await deliver(resolved.value, "watch");
    else scheduleRetry(resolved.error);
  }

  async function readHead(): Promise<void> {
    if (isReading || isClosed) return;
    isReading = true;
    const current = await repository.readCurrent();
    isReading = false;
    if (current.isErr()) return scheduleRetry(current.error);
    if (current.value !== undefined) await deliver(current.value, "read");
  }

  async function deliver(
    configuration: Configuration,
    source: ConfigurationSource,
  ): Promise<void> {
    await options.prepare?.(configuration);
    if (!isClosed) learned(configuration, source);
  }

  function scheduleRetry(fault: ReadError): void {
    if (isClosed) return;
    failed(fault);
    clearTimeout(retryTimer);
    retryTimer = setTimeout(() => void readHead(), retryMs);
  }

  return {
    offer: (found) => void handleHead(found),
    refresh: () => void readHead(),
    close() {
      isClosed = true;
      clearTimeout(retryTimer);
    },
  };
}
