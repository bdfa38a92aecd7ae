/** Runs one policy on a fleet of daemons and reports what came of it. */
import {
  addCounters,
  type Counters,
  type Fleet,
  readCounters,
  readStarts,
  readUsage,
  startFleet,
  subtractCounters,
} from "@coltsfootreach/fleet";
import type { Placement } from "@coltsfootreach/place";
import {
  drawJobs,
  idealMs,
  type Profile,
  type Quantiles,
  quantilesOf,
  SCENARIOS,
  type TrialJob,
} from "@coltsfootreach/trial";
import { type End, submitOnSchedule } from "./open_loop.ts";
import { type Waste, wasteOf } from "./waste.ts";

/** Jobs that come before this are run and not counted. */
const WARM_MS = 5000;

const GRACE_MS = 12_000;

const BACKEND_PROCESSES = 2;

const CONNECTIONS = 60;

const ROUND_TRIPS = 50;

const US_PER_MS = 1000;

const MS_PER_SECOND = 1000;

export interface BenchOptions {
  readonly profile: Profile;
  readonly policy: Placement;
  readonly load: number;
  readonly seed: number;
  /** Length of the counted arrivals. */
  readonly seconds: number;
  readonly entryFlags: readonly string[];
}

export interface BenchReport {
  readonly profile: string;
  readonly policy: string;
  readonly load: number;
  readonly seed: number;
  readonly jobs: number;
  readonly tasks: number;
  readonly responseOverIdeal: Quantiles;
  readonly perTenant: Readonly<Record<string, Quantiles>>;
  readonly wastedPerTask: Waste;
  readonly startsPerSecond: number;
  /** Processor time of the entries in microseconds. */
  readonly entryCpuPerTask: number;
  readonly doubleStarts: number;
  readonly jobsWithoutEnd: number;
  readonly failedJobs: number;
  readonly refusedJobs: number;
  readonly lateJobs: number;
  /** Round trip of a small request to an entry; part of the ideal. */
  readonly roundTripMs: number;
}

interface Sample {
  readonly counters: Counters;
  readonly cpuMs: number;
}

export async function runBench(options: BenchOptions): Promise<BenchReport> {
  const { profile } = options;
  const fleet = await startFleet({
    entries: profile.entries,
    sides: profile.speeds.length,
    slots: profile.slots,
    connections: CONNECTIONS,
    speeds: profile.speeds,
    classes: profile.classes.map(({ name }) => name),
    dataCentres: Array.from(
      { length: profile.dataCentres },
      (_, at) => `data-centre-${at}`,
    ),
    backendProcesses: BACKEND_PROCESSES,
    placement: options.policy,
    entryFlags: options.entryFlags,
  });
  try {
    return await runLoad(fleet, options);
  } finally {
    await fleet.stop();
  }
}

async function runLoad(
  fleet: Fleet,
  options: BenchOptions,
): Promise<BenchReport> {
  const origins = fleet.entries.map(({ origin }) => origin);
  const roundTripMs = await measureRoundTrip(origins[0]!);
  const jobs = drawJobs({
    ...options,
    scenario: SCENARIOS[0]!,
    durationMs: WARM_MS + options.seconds * MS_PER_SECOND,
  });
  const before = new Promise<Sample>((resolve) => {
    setTimeout(() => resolve(sample(fleet)), WARM_MS);
  });
  const ends = await submitOnSchedule({ origins, jobs, graceMs: GRACE_MS });
  const after = await sample(fleet);
  const starts = await readStarts(fleet.backendOrigins);
  const doubles = [...starts.values()].filter((count) => count > 1).length;
  const used = difference(await before, after);
  return assemble(options, { ends, used, doubles, roundTripMs });
}

interface Outcome {
  readonly ends: readonly End[];
  readonly used: Sample;
  readonly doubles: number;
  readonly roundTripMs: number;
}

function assemble(options: BenchOptions, outcome: Outcome): BenchReport {
  const { ends, used, roundTripMs } = outcome;
  const counted = ends.filter(({ job }) => job.atMs >= WARM_MS);
  const tasks = counted.reduce((sum, { job }) => sum + job.tasks.length, 0);
  const count = (test: (end: End) => boolean) => ends.filter(test).length;
  const answered = (
    test: (answer: { late: boolean; state: string }) => boolean,
  ) => count((end) => end.kind === "answered" && test(end.answer));
  return {
    profile: options.profile.name,
    policy: options.policy,
    load: options.load,
    seed: options.seed,
    jobs: counted.length,
    tasks,
    responseOverIdeal: quantilesOf(ratiosOf(counted, roundTripMs)),
    perTenant: perTenant(counted, roundTripMs),
    wastedPerTask: wasteOf(used.counters, tasks),
    startsPerSecond: tasks / options.seconds,
    entryCpuPerTask: (US_PER_MS * used.cpuMs) / tasks,
    doubleStarts: outcome.doubles,
    jobsWithoutEnd: count((end) => end.kind === "none"),
    failedJobs: answered((answer) => answer.state === "failed"),
    refusedJobs: count((end) => end.kind === "refused"),
    lateJobs: answered((answer) => answer.late),
    roundTripMs,
  };
}

/** Response over ideal of complete jobs. */
function ratiosOf(ends: readonly End[], roundTripMs: number): number[] {
  return ends.flatMap((end) => {
    const isComplete = end.kind === "answered" &&
      end.answer.state === "complete";
    return isComplete ? [end.responseMs / idealMs(end.job, roundTripMs)] : [];
  });
}

function perTenant(
  ends: readonly End[],
  roundTripMs: number,
): Readonly<Record<string, Quantiles>> {
  const tenantOf = (job: TrialJob) => job.tenant;
  const tenants = [...new Set(ends.map(({ job }) => tenantOf(job)))].sort();
  return Object.fromEntries(tenants.map((tenant) => {
    const own = ends.filter(({ job }) => tenantOf(job) === tenant);
    return [tenant, quantilesOf(ratiosOf(own, roundTripMs))];
  }));
}

async function sample(fleet: Fleet): Promise<Sample> {
  const counters = await Promise.all(
    fleet.entries.map(({ origin }) => readCounters(origin)),
  );
  const cpuMs = fleet.entries
    .map(({ child }) => readUsage(child.pid()!).cpuMs)
    .reduce((sum, one) => sum + one, 0);
  return { counters: addCounters(counters), cpuMs };
}

function difference(before: Sample, after: Sample): Sample {
  return {
    counters: subtractCounters(after.counters, before.counters),
    cpuMs: after.cpuMs - before.cpuMs,
  };
}

async function measureRoundTrip(origin: string): Promise<number> {
  const times: number[] = [];
  for (let round = 0; round < ROUND_TRIPS; round++) {
    const startedAtMs = performance.now();
    await (await fetch(`${origin}/livez`)).text();
    times.push(performance.now() - startedAtMs);
  }
  return quantilesOf(times).p50;
}
