/** Finds the processes that do not have a configuration version in force. */

/** What is known of the configuration in one process. */
export interface ConfigurationStatus {
  readonly process: string;
  readonly role: "entry" | "side";
  /** The version that it last said was in force; 0 for none. */
  readonly version: number;
  /** When it last said so, on the observer's clock. */
  readonly heardAtMs: number;
  /** Since when the observer has had a newer version in force. */
  readonly behindSinceMs?: number | undefined;
}

/** A version and when the observer first knew of it. */
export interface KnownVersion {
  readonly version: number;
  readonly sinceMs: number;
}

export interface Laggard extends ConfigurationStatus {
  readonly behindMs: number;
  /** An overdue process takes no new work. */
  readonly overdue: boolean;
}

/** A version is to be in force everywhere within this time. */
export const LAG_BOUND_MS = 3_000;

/** Processes below the version, the furthest behind first. */
export function laggards(
  statuses: readonly ConfigurationStatus[],
  known: KnownVersion,
  nowMs: number,
): readonly Laggard[] {
  return statuses
    .filter((status) => status.version < known.version)
    .map((status) => {
      const sinceMs = status.behindSinceMs ?? known.sinceMs;
      const behindMs = Math.max(0, nowMs - sinceMs);
      return { ...status, behindMs, overdue: behindMs >= LAG_BOUND_MS };
    })
    .sort((a, b) =>
      a.version - b.version || a.process.localeCompare(b.process)
    );
}
