/** One run: a fleet, its load, the faults, the settling, and the check. */
import { setTimeout as sleep } from "node:timers/promises";
import { type Fleet, startFleet } from "@coltsfootreach/fleet";
import { createRandom } from "@coltsfootreach/trial";
import type { PlannedAct } from "./act.ts";
import { type Balancer, createBalancer } from "./balancer.ts";
import { type Callers, createCallers } from "./caller.ts";
import {
  type Attempt,
  check,
  type Copy,
  type JobTrace,
  type Verdicts,
} from "./check.ts";
import { readStarts } from "./controls.ts";
import { createInjector, type Stop } from "./inject.ts";
import type { Plan } from "./plans.ts";
import { planActs } from "./plans.ts";
import { type Relay, startRelay } from "./relay.ts";
import { CLASSES, drawWorkload, type PlannedJob } from "./workload.ts";

/** What an answer may take from an entry to the check. */
const LATE_MARGIN_MS = 1000;

const ENTRIES = 3;

const SIDES = 6;

const SPEEDS = [1, 0.6];

const BACKEND_PROCESSES = 2;

export interface RunOptions {
  readonly seed: number;
  readonly lengthMs: number;
  /** Bound on settling after the last fault has ended. */
  readonly settleMs: number;
  readonly plan: Plan;
  readonly print: (line: string) => void;
}

export interface RunResult {
  readonly verdicts: Verdicts;
  readonly traces: readonly JobTrace[];
  readonly stops: readonly Stop[];
  /** Time from the end of the faults until every job had ended. */
  readonly settledMs: number;
  readonly folder: string;
}

export async function runChaos(options: RunOptions): Promise<RunResult> {
  const { seed, lengthMs, plan, print } = options;
  const jobs = drawWorkload({ seed, lengthMs, isPlain: plan !== "random" });
  const acts = planActs(plan, {
    seed,
    lengthMs,
    entries: ENTRIES,
    sides: SIDES,
  });
  for (const act of acts) print(JSON.stringify(act));
  const relays: Relay[] = [];
  const fleet = await startFleet({
    entries: ENTRIES,
    sides: SIDES,
    slots: 8,
    connections: 60,
    speeds: SPEEDS,
    classes: CLASSES,
    dataCentres: ["kiln-yard", "bindery-hall", "river-depot"],
    backendProcesses: BACKEND_PROCESSES,
    async advertise(link) {
      const relay = await startRelay(link);
      relays.push(relay);
      return relay.address;
    },
  });
  print(`logs in ${fleet.folder}/logs`);
  const random = createRandom(seed);
  const origins = fleet.entries.map(({ origin }) => origin);
  const balancer = createBalancer({ origins, random });
  const callers = createCallers(balancer);
  const injector = createInjector({
    fleet,
    relays,
    random,
    speedOf: (side) => SPEEDS[side % SPEEDS.length]!,
  });
  try {
    const traces = submitAll(jobs, callers);
    await carryOutAll(acts, (act) => {
      print(`at ${act.atMs} ms: ${JSON.stringify(act.act)}`);
      injector.carryOut(act.act);
    });
    await traces.submitted;
    await injector.endAll();
    const faultsEndedAtMs = performance.now();
    print("all faults have ended");
    const bound = setTimeout(() => callers.giveUp(), options.settleMs);
    const ended = await traces.ended;
    clearTimeout(bound);
    const settledMs = Math.round(performance.now() - faultsEndedAtMs);
    const starts = await readStarts(fleet.backendOrigins);
    const verdicts = check(ended, { starts, lateMarginMs: LATE_MARGIN_MS });
    return {
      verdicts,
      traces: ended,
      stops: injector.stops(),
      settledMs,
      folder: fleet.folder,
    };
  } finally {
    await closeAll({ balancer, callers, fleet, relays });
  }
}

interface Submitted {
  /** Resolves when every job has been submitted once. */
  readonly submitted: Promise<void>;
  readonly ended: Promise<JobTrace[]>;
}

/** Submits each job at its time, whatever became of the earlier ones. */
function submitAll(jobs: readonly PlannedJob[], callers: Callers): Submitted {
  const startedAtMs = performance.now();
  const traces = jobs.map(async (job) => {
    await sleep(Math.max(0, startedAtMs + job.atMs - performance.now()));
    return await submitJob(job, callers);
  });
  const lastAtMs = jobs.at(-1)?.atMs ?? 0;
  return { submitted: sleep(lastAtMs), ended: Promise.all(traces) };
}

async function submitJob(
  job: PlannedJob,
  callers: Callers,
): Promise<JobTrace> {
  const { dropAfterMs, cancelAfterMs, copiesAfterMs } = job;
  const copies: Promise<Copy>[] = [callers.submit(job, { dropAfterMs })];
  for (const afterMs of copiesAfterMs) {
    copies.push(sleep(afterMs).then(() => callers.submit(job)));
  }
  const cancels: Promise<Attempt>[] = cancelAfterMs === undefined
    ? []
    : [sleep(cancelAfterMs).then(() => callers.cancel(job))];
  return {
    job,
    copies: await Promise.all(copies),
    cancels: await Promise.all(cancels),
  };
}

async function carryOutAll(
  acts: readonly PlannedAct[],
  carryOut: (act: PlannedAct) => void,
): Promise<void> {
  const startedAtMs = performance.now();
  for (const act of acts) {
    await sleep(Math.max(0, startedAtMs + act.atMs - performance.now()));
    carryOut(act);
  }
}

async function closeAll(parts: {
  readonly balancer: Balancer;
  readonly callers: Callers;
  readonly fleet: Fleet;
  readonly relays: readonly Relay[];
}): Promise<void> {
  parts.balancer.close();
  await parts.callers.close();
  await parts.fleet.stop();
  parts.relays.forEach((relay) => relay.close());
}
