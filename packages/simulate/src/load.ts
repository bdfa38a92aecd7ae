/**
 * Plays a mixed load on a simulated fleet and reports what the callers of each
 * queue got. It serves to compare policies of queueing, refusing and placing
 * without processor time, network or platform in between.
 */
import type { LateReserve } from "@coltsfootreach/dispatch";
import type { RunRef, Timing } from "@coltsfootreach/run";
import { SAMPLE_TIMING, sampleQueue } from "@coltsfootreach/standin";
import { createChecker, type Violation } from "./checker.ts";
import { createClock, type SimulatedClock } from "./clock.ts";
import { createFleet, type Fleet } from "./fleet.ts";
import {
  type CallerClass,
  type JobOutcome,
  simulateLoadCallers,
} from "./load_callers.ts";
import { createRandom } from "./random.ts";
import type { TaskProfile } from "./server_standin.ts";

export interface LoadOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Work submitted over the cores of all servers; default 0.7. */
  readonly load?: number | undefined;
  readonly classes?: readonly CallerClass[] | undefined;
  readonly estimateSpread?: number | undefined;
  readonly entryWeights?: readonly number[] | undefined;
  readonly slowness?: readonly number[] | undefined;
  readonly timing?: Timing | undefined;
  readonly lateReserve?: LateReserve | undefined;
  /** Factor on the rate of all callers at a time, for bursts. */
  rateFactor?(atMs: number): number;
  /** Injects faults at fixed times. */
  script?(fleet: Fleet, clock: SimulatedClock): void;
}

/** What the callers of one queue got. */
export interface QueueResult {
  readonly jobs: number;
  /** Shares of the jobs. */
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Time to a refusal: median and 99th percentile; 0 without refusals. */
  readonly refusalMs: readonly [p50: number, p99: number];
  /** Share in time of the tenth of the jobs with the most tasks. */
  readonly largestInTime: number;
}

export interface LoadResult {
  readonly breaches: readonly Violation[];
  readonly outcomes: readonly JobOutcome[];
  readonly queues: Readonly<Record<string, QueueResult>>;
  /**
   * Share of what callers could gain that they did gain, over all queues alike:
   * a job in time counts in full, a late one at a fifth.
   */
  readonly gained: number;
}

const ENTRIES = 3;

const SIDES = 11;

const CAPACITY = { cpu: 32_000, memoryMb: 65_536, gpu: 0 };

/** Value of a late answer relative to one in time. */
const LATE_VALUE = 0.2;

/** Time after the last submission for all jobs to end. */
const SETTLE_MS = 20_000;

/** Short wide jobs, long ones, and medium ones, each a third of the work. */
export const MIXED_CLASSES: readonly CallerClass[] = [
  {
    queue: sampleQueue({ name: "short", priority: 0, attempts: 2 }),
    jobsPerSecond: 34,
    meanTasks: 8,
    meanMs: 75,
    cpu: 3100,
  },
  {
    queue: sampleQueue({ name: "long", priority: 2, attempts: 3 }),
    jobsPerSecond: 6,
    meanTasks: 4,
    meanMs: 900,
    cpu: 3100,
  },
  {
    queue: sampleQueue({ name: "medium", priority: 1, attempts: 4 }),
    jobsPerSecond: 54,
    meanTasks: 2,
    meanMs: 200,
    cpu: 3100,
  },
];

export function playLoad(options: LoadOptions): LoadResult {
  const clock = createClock();
  const random = createRandom(options.seed);
  const checker = createChecker({ now: clock.now, trace() {} });
  const taskProfiles = new Map<string, readonly TaskProfile[]>();
  const outcomes: JobOutcome[] = [];
  const fleet = createFleet({
    clock,
    random,
    checker,
    trace() {},
    timing: options.timing ?? SAMPLE_TIMING,
    entries: ENTRIES,
    sides: SIDES,
    slowness: options.slowness ?? [1.6, 1, 0.7],
    capacity: CAPACITY,
    lateReserve: options.lateReserve,
    profileOf: ({ task }: RunRef) => taskProfiles.get(task.job)![task.index]!,
  });
  const untilMs = options.seconds * 1000;
  const { rateFactor } = options;
  simulateLoadCallers({
    clock,
    random,
    fleet,
    checker,
    untilMs,
    classes: scaleToLoad(options.classes ?? MIXED_CLASSES, options.load ?? 0.7),
    estimateSpread: options.estimateSpread ?? 0.6,
    entryWeights: options.entryWeights,
    ...(rateFactor !== undefined && { rateFactor }),
    taskProfiles,
    ended: (outcome) => outcomes.push(outcome),
  });
  options.script?.(fleet, clock);
  clock.runUntil(untilMs + SETTLE_MS);
  return {
    breaches: checker.breaches(),
    outcomes,
    queues: summarize(outcomes),
    gained: gainedShare(outcomes),
  };
}

/** Scales the rates so that the offered work is `load` times all cores. */
function scaleToLoad(
  classes: readonly CallerClass[],
  load: number,
): readonly CallerClass[] {
  const cores = SIDES * CAPACITY.cpu / 1000;
  const offered = classes.reduce(
    (sum, { jobsPerSecond, meanTasks, meanMs, cpu }) =>
      sum + jobsPerSecond * meanTasks * meanMs / 1000 * cpu / 1000,
    0,
  );
  return classes.map((callers) => ({
    ...callers,
    jobsPerSecond: callers.jobsPerSecond * load * cores / offered,
  }));
}

/** Groups outcomes by queue and condenses each group. */
export function summarize(
  outcomes: readonly JobOutcome[],
): Readonly<Record<string, QueueResult>> {
  const groups = new Map<string, JobOutcome[]>();
  for (const outcome of outcomes) {
    const group = groups.get(outcome.queue) ?? [];
    group.push(outcome);
    groups.set(outcome.queue, group);
  }
  return Object.fromEntries(
    [...groups].map(([queue, group]) => [queue, summarizeQueue(group)]),
  );
}

function summarizeQueue(jobs: readonly JobOutcome[]): QueueResult {
  const refusals = jobs.filter(({ result }) => result === "refused")
    .map(({ ms }) => ms).sort((left, right) => left - right);
  const bySize = [...jobs].sort((left, right) => right.tasks - left.tasks);
  const largest = bySize.slice(0, Math.ceil(jobs.length / 10));
  return {
    jobs: jobs.length,
    inTime: shareOf(jobs, "inTime"),
    late: shareOf(jobs, "late"),
    refused: shareOf(jobs, "refused"),
    refusalMs: [quantile(refusals, 0.5), quantile(refusals, 0.99)],
    largestInTime: shareOf(largest, "inTime"),
  };
}

function shareOf(
  jobs: readonly JobOutcome[],
  result: JobOutcome["result"],
): number {
  return jobs.filter((job) => job.result === result).length /
    Math.max(1, jobs.length);
}

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.floor(sorted.length * share)] ?? 0;
}

/** Each queue's work counts the same, whatever its share of the work. */
export function gainedShare(outcomes: readonly JobOutcome[]): number {
  const queues = new Map<string, { owed: number; gained: number }>();
  for (const { queue, result, work } of outcomes) {
    const sums = queues.get(queue) ?? { owed: 0, gained: 0 };
    queues.set(queue, sums);
    sums.owed += work;
    if (result === "inTime") sums.gained += work;
    if (result === "late") sums.gained += work * LATE_VALUE;
  }
  const shares = [...queues.values()].map(({ owed, gained }) => gained / owed);
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}
