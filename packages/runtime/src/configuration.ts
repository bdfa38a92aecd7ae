/**
 * Keeps the newest configuration. A watch brings changes at once; a cheap read
 * beside it notices a watch that has gone silent. Versions only rise.
 */
import type { Log } from "@coltsfootreach/log";
import type { QueueTable } from "@coltsfootreach/run";
import type { Store, Versioned, Watch } from "@coltsfootreach/store";
import type { ConfigurationDocument } from "./ports.ts";

/** Time between cheap reads. */
const READ_MS = 1000;

/** Time before a watch is opened again, or the first read is repeated. */
const RETRY_MS = 200;

export interface ConfigurationOptions {
  readonly store: Store;
  readonly document: ConfigurationDocument;
  readonly log: Log;
}

export interface Configuration {
  /** None before the first one was read. */
  table(): QueueTable | undefined;
  stop(): void;
}

export function followConfiguration(
  options: ConfigurationOptions,
): Configuration {
  const { store, document, log } = options;
  let table: QueueTable | undefined;
  let revision = 0;
  let watch: Watch | undefined;
  let isStopped = false;
  let readTimer: NodeJS.Timeout | undefined;

  function take(item: Pick<Versioned, "value" | "revision">): void {
    if (item.revision <= revision) return;
    revision = item.revision;
    const decoded = document.decode(item.value);
    if (decoded.isErr()) {
      log.error("configuration not usable", { reason: decoded.error.message });
      return;
    }
    const next = decoded.value;
    if (table !== undefined && next.version <= table.version) return;
    table = next;
    log.info("configuration in force", { configurationVersion: next.version });
  }

  async function openWatch(): Promise<void> {
    if (isStopped) return;
    const read = await store.list(document.key);
    if (isStopped) return;
    if (read.isErr()) {
      setTimeout(openWatch, RETRY_MS);
      return;
    }
    const item = read.value.values.find(({ key }) => key === document.key);
    if (item !== undefined) take(item);
    watch = store.watch(document.key, read.value.revision + 1, {
      changed(change) {
        const { key, value } = change;
        if (key !== document.key) return;
        if (value === undefined) log.error("configuration removed");
        else take({ value, revision: change.revision });
      },
      ended() {
        watch = undefined;
        setTimeout(openWatch, RETRY_MS);
      },
    });
  }

  async function readCheaply(): Promise<void> {
    const read = await store.listStale(document.key);
    const item = read.isErr()
      ? undefined
      : read.value.values.find(({ key }) => key === document.key);
    if (item !== undefined && item.revision > revision) {
      take(item);
      if (watch !== undefined) {
        log.warn("watch of the configuration was silent");
        watch.close();
        watch = undefined;
        openWatch();
      }
    }
    if (!isStopped) readTimer = setTimeout(readCheaply, READ_MS);
  }

  openWatch();
  readTimer = setTimeout(readCheaply, READ_MS);
  return {
    table: () => table,
    stop() {
      isStopped = true;
      clearTimeout(readTimer);
      watch?.close();
    },
  };
}
