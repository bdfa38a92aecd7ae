/** The time limits of a simulated system, as the daemons have them. */
export interface Limits {
  readonly freshnessMs: number;
  readonly heartbeatMs: number;
  readonly sideLostMs: number;
  readonly doubtMs: number;
  readonly leaseMs: number;
  readonly storeTimeoutMs: number;
  readonly tickMs: number;
  readonly readIntervalMs: number;
  readonly retryMs: number;
  readonly redialMs: number;
  readonly windowMs: number;
  readonly skewMs: number;
  readonly overdueMs: number;
  readonly orphanMs: number;
  readonly maxRecords: number;
  readonly maxHeld: number;
  readonly queuePerSlot: number;
  readonly keepEvidenceMs: number;
  readonly keepResultsMs: number;
  readonly maxJobs: number;
  readonly drainMs: number;
}

export const DEFAULT_LIMITS: Limits = {
  freshnessMs: 3000,
  heartbeatMs: 1000,
  sideLostMs: 3000,
  doubtMs: 10_000,
  leaseMs: 3000,
  storeTimeoutMs: 500,
  tickMs: 50,
  readIntervalMs: 1000,
  retryMs: 250,
  redialMs: 100,
  windowMs: 600_000,
  skewMs: 1000,
  overdueMs: 20_000,
  orphanMs: 10_000,
  maxRecords: 1000,
  maxHeld: 1000,
  queuePerSlot: 1,
  keepEvidenceMs: 900_000,
  keepResultsMs: 60_000,
  maxJobs: 1000,
  drainMs: 60_000,
};

/** Unix time at the start of the simulation, in milliseconds. */
export const START_WALL_MS = 1_700_000_000_000;
