/**
 * Follows the newest configuration. A watch delivers changes immediately, and
 * periodic stale reads, which are cheap, detect a watch that has stopped
 * delivering. Only a higher version replaces the current one.
 */
import type { Log } from "@coltsfootreach/log";
import type { QueueTable } from "@coltsfootreach/run";
import type { Store, VersionedValue, Watch } from "@coltsfootreach/store";
import { hedgedRead } from "./hedge.ts";
import type { ConfigurationSource } from "./ports.ts";

/** Interval of the stale reads. */
const POLL_INTERVAL_MS = 1000;

/** Delay before reopening a watch, or retrying the read that precedes it. */
const RETRY_DELAY_MS = 200;

export interface ConfigurationOptions {
  readonly store: Store;
  readonly document: ConfigurationSource;
  readonly log: Log;
}

export interface Configuration {
  /** Undefined until the first valid configuration has been read. */
  table(): QueueTable | undefined;
  stop(): void;
}

export function watchConfiguration(
  options: ConfigurationOptions,
): Configuration {
  const { store, document, log } = options;
  let table: QueueTable | undefined;
  let revision = 0;
  let watch: Watch | undefined;
  let isStopped = false;
  let pollTimer: NodeJS.Timeout | undefined;

  function applyVersion(
    item: Pick<VersionedValue, "value" | "revision">,
  ): void {
    if (item.revision <= revision) return;
    revision = item.revision;
    const decoded = document.decode(item.value);
    if (decoded.isErr()) {
      log.error("configuration is invalid and was not applied", {
        reason: decoded.error.message,
      });
      return;
    }
    const next = decoded.value;
    if (table !== undefined && next.version <= table.version) return;
    table = next;
    log.info("configuration applied", { configurationVersion: next.version });
  }

  async function openWatch(): Promise<void> {
    if (isStopped) return;
    const listing = await hedgedRead(() => store.list(document.key));
    if (isStopped) return;
    if (listing.isErr()) {
      setTimeout(openWatch, RETRY_DELAY_MS);
      return;
    }
    const item = listing.value.values.find(({ key }) => key === document.key);
    if (item !== undefined) applyVersion(item);
    watch = store.watch(document.key, listing.value.revision + 1, {
      changed(change) {
        const { key, value } = change;
        if (key !== document.key) return;
        if (value === undefined) {
          log.error(
            "configuration was deleted from the store; keeping the current one",
          );
        } else applyVersion({ value, revision: change.revision });
      },
      ended() {
        watch = undefined;
        setTimeout(openWatch, RETRY_DELAY_MS);
      },
    });
  }

  async function poll(): Promise<void> {
    const listing = await store.listStale(document.key);
    const item = listing.isErr()
      ? undefined
      : listing.value.values.find(({ key }) => key === document.key);
    if (item !== undefined && item.revision > revision) {
      applyVersion(item);
      if (watch !== undefined) {
        log.warn("configuration watch missed a change; reopening it");
        watch.close();
        watch = undefined;
        openWatch();
      }
    }
    if (!isStopped) pollTimer = setTimeout(poll, POLL_INTERVAL_MS);
  }

  openWatch();
  pollTimer = setTimeout(poll, POLL_INTERVAL_MS);
  return {
    table: () => table,
    stop() {
      isStopped = true;
      clearTimeout(pollTimer);
      watch?.close();
    },
  };
}
