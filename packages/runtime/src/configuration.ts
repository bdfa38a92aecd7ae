/**
 * Follows the newest configuration. A watch delivers changes immediately. Its
 * connection may go silent, so the store must answer at short intervals even
 * without changes. Only a higher version replaces the current one.
 */
import type { Log } from "@coltsfootreach/log";
import type { QueueTable } from "@coltsfootreach/run";
import type { Store, VersionedValue, Watch } from "@coltsfootreach/store";
import { hedgedRead } from "./hedge.ts";
import { monotonicNowMs } from "./loop.ts";
import type { ConfigurationSource } from "./ports.ts";

/**
 * Time to get the changes on a new connection and to apply them, once the old
 * connection is known to be silent.
 */
const CATCH_UP_MS = 500;

/** Shorter waits would only cost calls. */
const MIN_WATCH_WAIT_MS = 200;

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
  /** Time since the store last confirmed that there is no newer version. */
  ageMs(): number;
  stop(): void;
}

/**
 * Derives how long a watch may wait for changes. A change that is accepted right
 * after the connection went silent is applied within the wait, the margin for the
 * answer that does not come, and the time to catch up.
 */
export function deriveWatchWaitMs(
  { applyWithinMs, answerMarginMs }: ConfigurationBounds,
): number {
  const waitMs = applyWithinMs - answerMarginMs - CATCH_UP_MS;
  return Math.max(MIN_WATCH_WAIT_MS, Math.floor(waitMs));
}

export interface ConfigurationBounds {
  /** Time within which an accepted change must be in force. */
  readonly applyWithinMs: number;
  /** How long the answer to a watch may take after its wait. */
  readonly answerMarginMs: number;
}

export function watchConfiguration(
  options: ConfigurationOptions,
): Configuration {
  const { store, document, log } = options;
  let table: QueueTable | undefined;
  let revision = 0;
  let watch: Watch | undefined;
  let isStopped = false;
  let confirmedAtMs = monotonicNowMs();

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
    confirmedAtMs = monotonicNowMs();
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
      confirmed() {
        confirmedAtMs = monotonicNowMs();
      },
      ended() {
        watch = undefined;
        log.warn("configuration watch ended; reading the configuration again", {
          figures: { ageMs: Math.round(monotonicNowMs() - confirmedAtMs) },
        });
        setTimeout(openWatch, RETRY_DELAY_MS);
      },
    });
  }

  openWatch();
  return {
    table: () => table,
    ageMs: () => monotonicNowMs() - confirmedAtMs,
    stop() {
      isStopped = true;
      watch?.close();
    },
  };
}
