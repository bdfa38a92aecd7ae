/** One play: a fleet, callers and faults, all drawn from a seed. */
import type { RunRef, Timing } from "@coltsfootreach/run";
import { SAMPLE_TIMING, sampleQueue } from "@coltsfootreach/standin";
import { playCallers } from "./callers.ts";
import { type Breach, type CheckerCounts, createChecker } from "./checker.ts";
import { createClock, type SimulatedClock } from "./clock.ts";
import { playFaults } from "./faults.ts";
import { createFleet, type Fleet } from "./fleet.ts";
import { createRandom } from "./random.ts";
import type { TaskTruth } from "./server_standin.ts";
import type { Traffic } from "./traffic.ts";

export interface PlayOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Mean time between faults; none without it. */
  readonly faultEveryMs?: number | undefined;
  readonly jobsPerSecond: number;
  /** Share of tasks whose runs fail by themselves; 0.01 without it. */
  readonly failShare?: number | undefined;
  readonly entries?: number | undefined;
  readonly sides?: number | undefined;
  /** Run time over work, for each server in turn; all alike without it. */
  readonly slowness?: readonly number[] | undefined;
  /** The times by which losses are noticed; those that add up without it. */
  readonly timing?: Timing | undefined;
  /** Faults at set times. */
  script?(fleet: Fleet, clock: SimulatedClock): void;
  /** Told of every decision, order and fault. */
  trace?(at: number, what: string): void;
}

export interface PlayResult {
  readonly seed: number;
  readonly breaches: readonly Breach[];
  readonly counts: CheckerCounts;
  readonly inTime: number;
  /** Tasks of all jobs; more starts than these are repeats. */
  readonly tasks: number;
  /** Jobs that an entry still holds long after the last caller has left. */
  readonly stuck: number;
  readonly faults: readonly string[];
  readonly traffic: Readonly<Traffic>;
}

/** After the last hand-in, time for everything to end. */
const END_MS = 20_000;

export function play(options: PlayOptions): PlayResult {
  const clock = createClock();
  const random = createRandom(options.seed);
  const trace = (what: string) => options.trace?.(clock.now(), what);
  const checker = createChecker({ now: clock.now, trace });
  const untilMs = options.seconds * 1000;
  const faults: string[] = [];
  const truths = new Map<string, readonly TaskTruth[]>();
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
    truth: ({ task }: RunRef) => truths.get(task.job)![task.index]!,
  });
  const callers = playCallers({
    truths,
    clock,
    random,
    fleet,
    checker,
    queue: sampleQueue(),
    jobsPerSecond: options.jobsPerSecond,
    untilMs,
    shape: {
      meanTasks: 4,
      meanMs: 250,
      cpu: 1600,
      failShare: options.failShare ?? 0.01,
    },
  });
  if (options.faultEveryMs !== undefined) {
    playFaults({
      clock,
      random,
      fleet,
      everyMs: options.faultEveryMs,
      untilMs,
      note(what) {
        faults.push(`${Math.round(clock.now())} ${what}`);
        trace(`fault ${what}`);
      },
    });
  }
  options.script?.(fleet, clock);
  clock.runUntil(untilMs + END_MS);
  const stuck = fleet.entries.reduce((sum, one) => sum + one.liveJobs(), 0);
  return {
    seed: options.seed,
    breaches: checker.breaches(),
    counts: checker.counts(),
    inTime: callers.inTime(),
    tasks: [...truths.values()].reduce((sum, one) => sum + one.length, 0),
    stuck,
    faults,
    traffic: fleet.traffic,
  };
}
