/** Sums up the times from acceptance until a version is in force. */

export interface DelaySummary {
  readonly edits: number;
  /** One sample for each edit and process. */
  readonly samples: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly worstMs: number;
}

export interface EditDelays {
  readonly version: number;
  readonly delaysMs: readonly number[];
}

export function summarizeDelays(edits: readonly EditDelays[]): DelaySummary {
  const sorted = edits.flatMap(({ delaysMs }) => delaysMs)
    .sort((a, b) => a - b);
  return {
    edits: edits.length,
    samples: sorted.length,
    p50Ms: quantile(sorted, 0.5),
    p99Ms: quantile(sorted, 0.99),
    worstMs: sorted.at(-1) ?? 0,
  };
}

/** The smallest sample that at least this share of all does not exceed. */
function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0;
}
