/** The size to be carried, its budgets, and what is assumed beside them. */

export const TARGET = {
  workers: 20_000,
  accelerators: 44_000,
  startsPerSecond: 1_600_000,
  tenants: 140,
  regions: 7,
  dataCentres: 28,
  editsPerDay: 8300,
  failuresPerDay: 260,
  replacementsPerDay: 1500,
} as const;

/** What control may cost a daemon, and what the store carries. */
export const BUDGET = {
  /** 1.3% of a core. */
  cpuMsPerSecond: 13,
  memoryBytes: 128e6,
  bytesPerSecond: 15_000,
  /** Several hundred. */
  storeWritesPerSecond: 300,
  storeReadsPerSecond: 2000,
  /** An edit is in force everywhere within this. */
  editMs: 3000,
} as const;

export const ASSUMED = {
  /** Tasks of a job on average. */
  tasksPerJob: 30,
  /** Share of its core that an entry may use at the peak. */
  entryShare: 0.6,
  /** Bytes a second that an entry VM can send, for bursts. */
  linkBytesPerSecond: 125e6,
} as const;

/** Constants of the daemons that the figures rest on. */
export const SETTING = {
  /** How often an entry renews its lease, a second. */
  renewalsPerSecond: 0.5,
  /** How often an entry reads the table while all is quiet, a second. */
  tableReadsPerSecond: 0.1,
  /** How often it reads it while a member is not heard, a second. */
  anxiousReadsPerSecond: 1,
  heartbeatS: 1.4,
  recordWindowS: 600,
  maxRecords: 200_000,
  evidenceWindowS: 900,
  maxEvidence: 200_000,
} as const;

export const SECONDS_PER_DAY = 86_400;
