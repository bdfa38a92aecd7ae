/**
 * The fleets and workloads that trials run on. Sizes are those of today's
 * Delta and Urværk; job sizes, run times and speeds are assumptions and are
 * stated here.
 */

export interface ClassProfile {
  readonly name: string;
  readonly share: number;
  readonly medianMs: number;
  /** Standard deviation of the logarithm of the run time. */
  readonly spread: number;
  readonly deadlineMs: number;
}

export interface Profile {
  readonly name: string;
  readonly entries: number;
  /** Speed of each worker relative to the fastest. */
  readonly speeds: readonly number[];
  readonly slots: number;
  readonly dataCentres: number;
  /** One way between data centres, in milliseconds. */
  readonly delayMs: number;
  readonly tenants: readonly string[];
  readonly classes: readonly ClassProfile[];
  /** P(tasks of a job >= k) falls as k to the power of minus this. */
  readonly sizeExponent: number;
  readonly maxTasks: number;
  /** Standard deviation of the logarithm of declared over actual run time. */
  readonly declaredSpread: number;
}

/** One way inside a data centre, in milliseconds. */
export const LOCAL_DELAY_MS = 0.1;

/** No task is shorter than this on the fastest worker, in milliseconds. */
export const MIN_RUN_MS = 50;

/** No task is longer than this on the fastest worker, in milliseconds. */
export const MAX_RUN_MS = 8_000;

/** Workers bought over years: the slowest is half as fast as the fastest. */
const SPEEDS = [1, 1, 1, 0.9, 0.9, 0.8, 0.8, 0.7, 0.6, 0.5];

/** Workers that differ tenfold in speed. */
export const TENFOLD_SPEEDS = [
  1,
  1,
  1,
  0.9,
  0.8,
  0.6,
  0.4,
  0.2,
  0.1,
  0.1,
];

const DELTA: Profile = {
  name: "delta",
  entries: 3,
  speeds: SPEEDS,
  slots: 8,
  dataCentres: 3,
  delayMs: 0.5,
  tenants: Array.from({ length: 8 }, (_, at) => `desk-${at + 1}`),
  classes: [
    {
      name: "heat-check",
      share: 0.6,
      medianMs: 150,
      spread: 0.7,
      deadlineMs: 5_000,
    },
    {
      name: "recipe-release",
      share: 0.25,
      medianMs: 300,
      spread: 0.9,
      deadlineMs: 30_000,
    },
    {
      name: "seal-confirmation",
      share: 0.15,
      medianMs: 100,
      spread: 0.6,
      deadlineMs: 10_000,
    },
  ],
  sizeExponent: 1.3,
  maxTasks: 540,
  declaredSpread: 0.5,
};

const URVAERK: Profile = {
  ...DELTA,
  name: "urvaerk",
  delayMs: 1,
  tenants: Array.from({ length: 40 }, (_, at) => `dealer-${at + 1}`),
  classes: [
    {
      name: "provenance",
      share: 0.5,
      medianMs: 200,
      spread: 0.8,
      deadlineMs: 5_000,
    },
    {
      name: "valuation",
      share: 0.3,
      medianMs: 300,
      spread: 0.9,
      deadlineMs: 30_000,
    },
    {
      name: "reservation",
      share: 0.2,
      medianMs: 80,
      spread: 0.5,
      deadlineMs: 10_000,
    },
  ],
};

export const PROFILES: readonly Profile[] = [DELTA, URVAERK];

/** Work per millisecond that all slots do, as slots of the fastest worker. */
export function capacityOf(profile: Profile): number {
  return profile.speeds.reduce((sum, speed) => sum + speed * profile.slots, 0);
}
