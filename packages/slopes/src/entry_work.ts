/**
 * Processor time and bytes of entry daemons for each job by its number of
 * tasks, and store calls by load. The bytes include the callers' HTTP.
 */
import { type Fleet, submitJobs } from "@coltsfootreach/fleet";
import type { Point } from "./fit.ts";
import { CLASS } from "./made_up.ts";
import { createSeries, type Series } from "./series.ts";
import { withFleet } from "./small_fleet.ts";
import { median, pause, type Used, watchFleet } from "./watched.ts";

const SIDES = 20;

const ROUNDS = 3;

const REST_MS = 3000;

const US_PER_MS = 1000;

const MS_PER_SECOND = 1000;

interface Batch {
  readonly tasks: number;
  readonly jobs: number;
  readonly concurrency: number;
}

const BATCHES: readonly Batch[] = [
  { tasks: 1, jobs: 4000, concurrency: 32 },
  { tasks: 30, jobs: 500, concurrency: 16 },
  { tasks: 540, jobs: 40, concurrency: 4 },
];

/** Loads of one-task jobs under which store calls are counted. */
const LOADS: readonly Batch[] = [
  { tasks: 1, jobs: 4000, concurrency: 1 },
  { tasks: 1, jobs: 20_000, concurrency: 32 },
];

const QUIET_MS = 10_000;

interface Cost {
  readonly tasks: number;
  readonly cpuUs: number;
  readonly bytes: number;
}

interface Load {
  readonly jobsPerSecond: number;
  readonly storeCallsPerSecond: number;
}

/** Store calls of one entry at rest and under load. */
async function measureLoads(): Promise<readonly Load[]> {
  const shape = { entries: 1, sides: SIDES, sideProcesses: 2 };
  return await withFleet(shape, async (fleet) => {
    const rest = await watchFleet(fleet, () => pause(QUIET_MS));
    const loads = [loadOf(rest, 0)];
    for (const batch of LOADS) {
      const name = `load-${batch.concurrency}`;
      loads.push(loadOf(await runBatch(fleet, batch, name), batch.jobs));
    }
    return loads;
  });
}

async function measureWork(entries: number): Promise<readonly Cost[]> {
  const shape = { entries, sides: SIDES, sideProcesses: 2 };
  return await withFleet(shape, async (fleet) => {
    await runBatch(fleet, { ...BATCHES[1]!, jobs: 300 }, "warm");
    const rest = await watchFleet(fleet, () => pause(REST_MS));
    const costs: Cost[] = [];
    for (const batch of BATCHES) {
      const rounds: Cost[] = [];
      for (let round = 0; round < ROUNDS; round++) {
        const name = `${batch.tasks}-${round}`;
        const used = await runBatch(fleet, batch, name);
        rounds.push(costOf(batch, used, rest));
      }
      costs.push({
        tasks: batch.tasks,
        cpuUs: median(rounds.map((cost) => cost.cpuUs)),
        bytes: median(rounds.map((cost) => cost.bytes)),
      });
    }
    return costs;
  });
}

async function runBatch(
  fleet: Fleet,
  batch: Batch,
  prefix: string,
): Promise<Used> {
  return await watchFleet(fleet, async () => {
    const complete = await submitJobs({
      ...batch,
      class: CLASS,
      origins: fleet.entries.map(({ origin }) => origin),
      prefix,
    });
    if (complete < batch.jobs) {
      throw new Error(`${batch.jobs - complete} jobs did not end complete`);
    }
  });
}

/** What the batch cost above the fleet at rest. */
function costOf(batch: Batch, used: Used, rest: Used): Cost {
  const share = used.elapsedMs / rest.elapsedMs;
  return {
    tasks: batch.tasks,
    cpuUs: US_PER_MS * (used.cpuMs - rest.cpuMs * share) / batch.jobs,
    bytes: (used.movedBytes - rest.movedBytes * share) / batch.jobs,
  };
}

function loadOf(used: Used, jobs: number): Load {
  const seconds = used.elapsedMs / MS_PER_SECOND;
  return {
    jobsPerSecond: Math.round(jobs / seconds),
    storeCallsPerSecond: used.storeCalls / seconds,
  };
}

function pointsOf(
  costs: readonly Cost[],
  y: (cost: Cost) => number,
): readonly Point[] {
  return costs.map((cost) => ({ x: cost.tasks, y: y(cost) }));
}

export async function measureEntryWork(): Promise<readonly Series[]> {
  const one = await measureWork(1);
  const three = await measureWork(3);
  const loads = await measureLoads();
  const common = {
    x: "tasks of the job",
    subject: "daemon",
    weighting: "relative",
  } as const;
  return [
    createSeries({
      ...common,
      name: "entry.cpu.owned",
      y: "entry processor time per job at its owner, us",
      points: pointsOf(one, (cost) => cost.cpuUs),
    }),
    createSeries({
      ...common,
      name: "entry.bytes.owned",
      y: "entry bytes per job at its owner",
      points: pointsOf(one, (cost) => cost.bytes),
    }),
    createSeries({
      ...common,
      name: "entry.cpu.forwarded",
      y: "processor time per job, two of three forwarded, us",
      points: pointsOf(three, (cost) => cost.cpuUs),
    }),
    createSeries({
      ...common,
      name: "entry.bytes.forwarded",
      y: "entry bytes per job, two of three forwarded",
      points: pointsOf(three, (cost) => cost.bytes),
    }),
    createSeries({
      name: "store.calls.load",
      y: "store calls a second of one entry",
      x: "jobs a second",
      subject: "daemon",
      points: loads.map((load) => ({
        x: load.jobsPerSecond,
        y: load.storeCallsPerSecond,
      })),
    }),
  ];
}
