/**
 * Remembers when versions came into force here, which tells how long another
 * process that follows an older one has been behind.
 */

/** Versions remembered; further back the oldest of these stands for all. */
const MAX_VERSIONS = 64;

export interface VersionTimes {
  note(version: number, nowMs: number): void;
  /** When the first version above this one came; undefined if none did. */
  firstAbove(version: number): number | undefined;
}

export function createVersionTimes(): VersionTimes {
  const times: { readonly version: number; readonly atMs: number }[] = [];

  return {
    note(version, nowMs) {
      times.push({ version, atMs: nowMs });
      if (times.length > MAX_VERSIONS) times.shift();
    },
    firstAbove(version) {
      return times.find((one) => one.version > version)?.atMs;
    },
  };
}
