/**
 * What an entry knows of configuration versions elsewhere, beside the one that
 * it has in force itself.
 */
import {
  type ConfigurationHolder,
  type KnownVersion,
  MAX_LAG_MS,
} from "@coltsfootreach/configure";

/** Pause before the configuration is read again. */
export const REFRESH_PAUSE_MS = 1000;

export interface Versions {
  /** There is a version that may be newer than the one in force here. */
  note(version: number): void;
  /** Another process has this version in force. */
  heard(version: number): void;
  /** Newest version that any process was heard to have. */
  newest(): KnownVersion;
  /** True when others use a version that this entry cannot get or read. */
  isLagging(): boolean;
}

export interface VersionsOptions {
  readonly holder: ConfigurationHolder;
  /** Reads the configuration from the store. */
  refresh(): void;
}

export function createVersions(options: VersionsOptions): Versions {
  const { holder } = options;
  let refreshedAtMs = -Infinity;
  let newest: KnownVersion = { version: 0, sinceMs: performance.now() };
  /** Newest version that another process has in force. */
  let elsewhere = newest;

  function note(version: number): void {
    const nowMs = performance.now();
    if (version > newest.version) newest = { version, sinceMs: nowMs };
    if (version <= holder.version()) return;
    if (nowMs - refreshedAtMs < REFRESH_PAUSE_MS) return;
    refreshedAtMs = nowMs;
    options.refresh();
  }

  return {
    note,
    heard(version) {
      note(version);
      if (version <= elsewhere.version) return;
      const sinceMs = elsewhere.version <= holder.version()
        ? performance.now()
        : elsewhere.sinceMs;
      elsewhere = { version, sinceMs };
    },
    newest: () => newest,
    isLagging() {
      return elsewhere.version > holder.version() &&
        performance.now() - elsewhere.sinceMs >= MAX_LAG_MS;
    },
  };
}
