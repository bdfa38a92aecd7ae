/** Simulates a fleet, its callers and faults; a seed determines everything. */
import type { RunRef, Timing } from "@coltsfootreach/run";
import { SAMPLE_TIMING, sampleQueue } from "@coltsfootreach/standin";
import { simulateCallers } from "./callers.ts";
import {
  type CheckerCounts,
  createChecker,
  type Violation,
} from "./checker.ts";
import { createClock, type SimulatedClock } from "./clock.ts";
import { injectFaults } from "./faults.ts";
import { createFleet, type Fleet } from "./fleet.ts";
import { createRandom } from "./random.ts";
import type { TaskProfile } from "./server_standin.ts";
import type { Traffic } from "./traffic.ts";

export interface SimulationOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Mean time between faults; if undefined, no faults are injected. */
  readonly meanFaultIntervalMs?: number | undefined;
  readonly jobsPerSecond: number;
  /** Share of tasks whose runs fail without an injected fault; default 0.01. */
  readonly failureRate?: number | undefined;
  /** Mean work of a task; default 250. */
  readonly meanTaskMs?: number | undefined;
  readonly entries?: number | undefined;
  readonly sides?: number | undefined;
  /** How often a caller starts over after no answer in time; default 0. */
  readonly maxTimeouts?: number | undefined;
  /** Ratio of run time to work, assigned to servers in turn; default 1. */
  readonly slowness?: readonly number[] | undefined;
  /** Failure detection timeouts; the defaults are consistent with each other. */
  readonly timing?: Timing | undefined;
  /** Injects faults at fixed times. */
  script?(fleet: Fleet, clock: SimulatedClock): void;
  /** Called for every decision, start, end, answer and fault. */
  trace?(at: number, what: string): void;
}

export interface SimulationResult {
  readonly seed: number;
  readonly breaches: readonly Violation[];
  readonly counts: CheckerCounts;
  readonly inTime: number;
  /** Number of tasks of all jobs; any further starts are restarts. */
  readonly tasks: number;
  /** Jobs that entries still hold after all callers have timed out. */
  readonly stuck: number;
  /** Servers that are up but, long after the last fault, get no runs. */
  readonly closedServers: readonly string[];
  readonly faults: readonly string[];
  readonly traffic: Readonly<Traffic>;
}

/** Time after the last submission for all jobs to end. */
const SETTLE_MS = 20_000;

export function runSimulation(options: SimulationOptions): SimulationResult {
  const clock = createClock();
  const random = createRandom(options.seed);
  const trace = (what: string) => options.trace?.(clock.now(), what);
  const checker = createChecker({ now: clock.now, trace });
  const untilMs = options.seconds * 1000;
  const faults: string[] = [];
  const taskProfiles = new Map<string, readonly TaskProfile[]>();
  const fleet = createFleet({
    clock,
    random,
    checker,
    trace,
    timing: options.timing ?? SAMPLE_TIMING,
    entries: options.entries ?? 3,
    sides: options.sides ?? 6,
    slowness: options.slowness ?? [1],
    capacity: { cpu: 16_000, memoryMb: 65_536, gpu: 0 },
    profileOf: ({ task }: RunRef) => taskProfiles.get(task.job)![task.index]!,
  });
  const callers = simulateCallers({
    taskProfiles,
    clock,
    random,
    fleet,
    checker,
    queue: sampleQueue(),
    jobsPerSecond: options.jobsPerSecond,
    untilMs,
    maxTimeouts: options.maxTimeouts ?? 0,
    shape: {
      meanTasks: 4,
      meanMs: options.meanTaskMs ?? 250,
      cpu: 1600,
      failureRate: options.failureRate ?? 0.01,
    },
  });
  if (options.meanFaultIntervalMs !== undefined) {
    injectFaults({
      clock,
      random,
      fleet,
      meanIntervalMs: options.meanFaultIntervalMs,
      untilMs,
      note(what) {
        faults.push(`${Math.round(clock.now())} ${what}`);
        trace(`fault ${what}`);
      },
    });
  }
  options.script?.(fleet, clock);
  clock.runUntil(untilMs + SETTLE_MS);
  const stuck = fleet.entries.reduce((sum, one) => sum + one.liveJobs(), 0);
  return {
    seed: options.seed,
    breaches: checker.breaches(),
    counts: checker.counts(),
    inTime: callers.inTime(),
    tasks: [...taskProfiles.values()].reduce((sum, one) => sum + one.length, 0),
    stuck,
    closedServers: fleet.sides
      .filter((side) => !side.isServerOpen())
      .map((side) => side.server().id),
    faults,
    traffic: fleet.traffic,
  };
}
