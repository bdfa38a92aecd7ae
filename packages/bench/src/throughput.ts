/**
 * Finds how many tasks one entry process can start a second. Stand-in sides
 * answer every start at once; jobs come in a closed loop.
 */
import {
  type Fleet,
  readUsage,
  startFleet,
  startSideStandins,
  stopChildren,
  submitJobs,
} from "@coltsfootreach/fleet";

const CLASS = "heat-check";

const SIDES = 20;

const SIDE_PROCESSES = 4;

const SLOTS = 64;

const SETTLE_MS = 3000;

const WARM_TASKS = 60_000;

const ROUND_TASKS = 120_000;

const ROUNDS = 3;

/** Bound on the length of a round of small jobs. */
const MOST_JOBS = 10_000;

const CONCURRENT_TASKS = 2000;

/** Connections of the caller. */
const MOST_CONCURRENT_JOBS = 64;

const US_PER_MS = 1000;

const MS_PER_SECOND = 1000;

export interface ThroughputReport {
  readonly tasksPerJob: number;
  /** Of the best round. */
  readonly startsPerSecond: number;
  readonly entryCpuPerTask: number;
  readonly rounds: readonly Round[];
}

interface Round {
  readonly startsPerSecond: number;
  /** Processor time of the entry, all threads, in microseconds. */
  readonly entryCpuPerTask: number;
}

export async function measureThroughput(
  tasksPerJob: number,
  entryFlags: readonly string[],
): Promise<ThroughputReport> {
  const fleet = await startFleet({
    entries: 1,
    sides: 0,
    slots: SLOTS,
    connections: SLOTS,
    speeds: [1],
    classes: [CLASS],
    dataCentres: ["data-centre-0"],
    backendProcesses: 1,
    entryFlags,
  });
  const sides = await startSideStandins({
    folder: `${fleet.folder}/logs`,
    entries: fleet.entries.map(({ link }) => link),
    count: SIDES,
    processes: SIDE_PROCESSES,
    slots: SLOTS,
    classes: [CLASS],
  });
  try {
    await new Promise((wake) => setTimeout(wake, SETTLE_MS));
    return await runRounds(fleet, tasksPerJob);
  } finally {
    await stopChildren(sides);
    await fleet.stop();
  }
}

async function runRounds(
  fleet: Fleet,
  tasksPerJob: number,
): Promise<ThroughputReport> {
  await runRound(fleet, { tasksPerJob, tasks: WARM_TASKS, name: "warm" });
  const rounds: Round[] = [];
  for (let number = 0; number < ROUNDS; number++) {
    const name = `round-${number}`;
    rounds.push(
      await runRound(fleet, { tasksPerJob, tasks: ROUND_TASKS, name }),
    );
  }
  const best = rounds.reduce((one, other) =>
    other.startsPerSecond > one.startsPerSecond ? other : one
  );
  return { tasksPerJob, ...best, rounds };
}

interface RoundOptions {
  readonly tasksPerJob: number;
  readonly tasks: number;
  readonly name: string;
}

async function runRound(fleet: Fleet, options: RoundOptions): Promise<Round> {
  const { tasksPerJob } = options;
  const jobs = Math.min(MOST_JOBS, Math.ceil(options.tasks / tasksPerJob));
  const pid = fleet.entries[0]!.child.pid()!;
  const cpuBeforeMs = readUsage(pid).cpuMs;
  const startedAtMs = performance.now();
  const complete = await submitJobs({
    origins: fleet.entries.map(({ origin }) => origin),
    class: CLASS,
    tasks: tasksPerJob,
    jobs,
    concurrency: Math.min(
      MOST_CONCURRENT_JOBS,
      Math.ceil(CONCURRENT_TASKS / tasksPerJob),
    ),
    prefix: options.name,
  });
  const elapsedMs = performance.now() - startedAtMs;
  if (complete < jobs) throw new Error(`${jobs - complete} jobs failed`);
  const tasks = jobs * tasksPerJob;
  const cpuMs = readUsage(pid).cpuMs - cpuBeforeMs;
  return {
    startsPerSecond: (MS_PER_SECOND * tasks) / elapsedMs,
    entryCpuPerTask: (US_PER_MS * cpuMs) / tasks,
  };
}
