/** Finds the processes that run an older configuration version. */

/** The configuration version of one process, as last reported. */
export interface ConfigurationStatus {
  readonly process: string;
  readonly role: "entry" | "side";
  /** The version in force in its last report; 0 for none. */
  readonly version: number;
  /** When that report arrived, on the observer's clock. */
  readonly heardAtMs: number;
  /** Since when the observer has had a newer version in force. */
  readonly behindSinceMs?: number | undefined;
}

/** A version and when the observer first learned of it. */
export interface KnownVersion {
  readonly version: number;
  readonly sinceMs: number;
}

export interface Laggard extends ConfigurationStatus {
  readonly behindMs: number;
  /** An overdue process takes no new work. */
  readonly overdue: boolean;
}

/** Time within which a version must be in force in all processes. */
export const MAX_LAG_MS = 3_000;

/** Processes below the known version, in ascending order of version. */
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
      return { ...status, behindMs, overdue: behindMs >= MAX_LAG_MS };
    })
    .sort((a, b) =>
      a.version - b.version || a.process.localeCompare(b.process)
    );
}
