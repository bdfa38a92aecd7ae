/**
 * Records when versions came into force in this process, from which it follows
 * how long a process with an older version has been behind.
 */

/** Versions recorded; for earlier ones the oldest recorded time is used. */
const MAX_VERSIONS = 64;

export interface VersionTimes {
  note(version: number, nowMs: number): void;
  /** When the first higher version came into force; undefined if none did. */
  firstAbove(version: number): number | undefined;
}

export function createVersionTimes(): VersionTimes {
  const history: { readonly version: number; readonly atMs: number }[] = [];

  return {
    note(version, nowMs) {
      history.push({ version, atMs: nowMs });
      if (history.length > MAX_VERSIONS) history.shift();
    },
    firstAbove(version) {
      return history.find((one) => one.version > version)?.atMs;
    },
  };
}
