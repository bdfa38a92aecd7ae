/**
 * Turns what an entry learns of the head key into configuration versions. The
 * entry's one watch offers changes; a refresh reads the key, for when a watch
 * may be silent or another process is ahead. Failed reads are tried again.
 */
import type { Store, VersionedValue } from "@coltsfootreach/store";
import type { Configuration } from "@coltsfootreach/types";
import type { ConfigurationSource } from "./holder.ts";
import type { ConfigurationKeys } from "./keys.ts";
import { createConfigurationRepository, type ReadFault } from "./repository.ts";

export interface FeedOptions {
  readonly store: Store;
  readonly keys: ConfigurationKeys;
  /** Pause before a failed read is tried again, in milliseconds. */
  readonly retryMs: number;
  /** Reads a text ahead of `learned`, so that it holds up nothing there. */
  readonly prepare?:
    | ((configuration: Configuration) => Promise<void>)
    | undefined;
  /** Called with versions in any order; a holder passes over older ones. */
  learned(configuration: Configuration, source: ConfigurationSource): void;
  failed(fault: ReadFault): void;
}

export interface ConfigurationFeed {
  /** Takes a value of the head key, as a watch or a listing shows it. */
  offer(found: VersionedValue): void;
  /** Reads the head key; one read at a time. */
  refresh(): void;
  close(): void;
}

export function createConfigurationFeed(
  options: FeedOptions,
): ConfigurationFeed {
  const { learned, failed, retryMs } = options;
  const repository = createConfigurationRepository(options);
  let timer: ReturnType<typeof setTimeout> | undefined;
  let isReading = false;
  let isClosed = false;

  async function resolve(found: VersionedValue): Promise<void> {
    const resolved = await repository.resolve(found);
    if (resolved.isOk()) await tell(resolved.value, "watch");
    else retry(resolved.error);
  }

  async function read(): Promise<void> {
    if (isReading || isClosed) return;
    isReading = true;
    const current = await repository.readCurrent();
    isReading = false;
    if (current.isErr()) return retry(current.error);
    if (current.value !== undefined) await tell(current.value, "read");
  }

  async function tell(
    configuration: Configuration,
    source: ConfigurationSource,
  ): Promise<void> {
    await options.prepare?.(configuration);
    if (!isClosed) learned(configuration, source);
  }

  function retry(fault: ReadFault): void {
    if (isClosed) return;
    failed(fault);
    clearTimeout(timer);
    timer = setTimeout(() => void read(), retryMs);
  }

  return {
    offer: (found) => void resolve(found),
    refresh: () => void read(),
    close() {
      isClosed = true;
      clearTimeout(timer);
    },
  };
}
