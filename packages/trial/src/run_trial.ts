/** Runs one policy on one workload and reports what came of it. */
import {
  createAdmission,
  createTenantQueue,
  createUsage,
  type JobOrder,
} from "@coltsfootreach/limit";
import {
  type Candidate,
  createOutlierDetector,
  createRunTimeModel,
  type PlacementPolicy,
  type Random,
} from "@coltsfootreach/place";
import { type Clock, createClock } from "./clock.ts";
import {
  createEntryModel,
  type EntryModel,
  type EntryModelOptions,
  type JobEnd,
} from "./entry_model.ts";
import { capacityOf, LOCAL_DELAY_MS, type Profile } from "./profile.ts";
import { createRandom } from "./random.ts";
import {
  bySize,
  isInTime,
  quantilesBy,
  quantilesOf,
  ratios,
  type TrialReport,
  workMs,
} from "./report.ts";
import { applyScenario, type Scenario } from "./scenario.ts";
import {
  createSideModel,
  HEARTBEAT_MS,
  type LoadFrame,
  type SideFrameKind,
  type SideModel,
} from "./side_model.ts";
import { drawJobs, type TrialJob } from "./workload.ts";

export interface PolicyContext {
  readonly random: Random;
  readonly delayMsTo: (dataCentre: string) => number;
}

export interface TrialOptions {
  readonly profile: Profile;
  readonly scenario: Scenario;
  readonly load: number;
  readonly seed: number;
  readonly durationMs: number;
  readonly policyName: string;
  readonly createPolicy: (context: PolicyContext) => PlacementPolicy;
  readonly order: JobOrder;
}

/** Jobs that come before this are not reported, so that learning is over. */
const WARM_UP_MS = 20_000;

/** How often an entry offers waiting tasks again without other cause. */
const TICK_MS = 5;

/** Time after the last arrival in which jobs may still end. */
const COOL_DOWN_MS = 60_000;

/** Tasks of one tenant that may wait in one entry. */
const MAX_QUEUED_PER_TENANT = 4_000;

/** Tasks that may wait in one entry. */
const MAX_QUEUED = 20_000;

const RULES = {
  held: [],
  ejectFailureRatio: 0.5,
  ejectAtMost: 0.3,
  probationMs: 5_000,
  configurationVersion: 1,
};

const SIZE = { cores: 16, memoryMb: 65_536, accelerators: 0 };

type Cores = Pick<
  EntryModelOptions,
  "runTimes" | "queue" | "admission" | "usage" | "health" | "policy"
>;

interface Fleet {
  readonly entries: readonly EntryModel[];
  readonly counts: Map<SideFrameKind | "start", number>;
}

function dataCentreName(number: number): string {
  return `dc-${number}`;
}

function candidatesOf(profile: Profile): readonly Candidate[] {
  return profile.speeds.map((_, at) => ({
    side: `side-${at + 1}`,
    server: `server-${at + 1}`,
    dataCentre: dataCentreName(at % profile.dataCentres),
    slots: profile.slots,
    outstanding: 0,
    load: { running: 0, queued: 0 },
    loadAtMs: 0,
    outstandingAtLoad: 0,
    classes: profile.classes.map((one) => one.name),
    size: SIZE,
  }));
}

/** What the cores of an entry need to know of what is around them. */
interface EntryLinks {
  readonly delayMsTo: (dataCentre: string) => number;
  readonly hasRoom: () => boolean;
}

/** The decision cores of one entry. */
function createCores(
  { profile, seed, order, createPolicy }: TrialOptions,
  entry: number,
  links: EntryLinks,
): Cores {
  const runTimes = createRunTimeModel();
  const slots = (profile.slots * profile.speeds.length) / profile.entries;
  let acts = 0;
  const queue = createTenantQueue({
    order,
    slots: () => slots,
    hasCapacity: links.hasRoom,
    costOf: (task) => runTimes.expectedMs(task.class, task.declaredMs),
  });
  const admission = createAdmission({
    forecast: queue.forecast,
    queued: queue.size,
    maxQueuedOf: () => MAX_QUEUED_PER_TENANT,
    maxQueued: MAX_QUEUED,
    slots: () => slots,
  });
  const health = createOutlierDetector({
    rules: () => RULES,
    sides: () => profile.speeds.length,
    nextId: () => `${entry}-${acts++}`,
  });
  const random = createRandom(seed * 1_000 + entry);
  const policy = createPolicy({ random, delayMsTo: links.delayMsTo });
  const usage = createUsage({ slots: () => slots });
  return { runTimes, queue, admission, usage, health, policy };
}

function createFleet(
  options: TrialOptions,
  clock: Clock,
  onEnd: (end: JobEnd) => void,
): Fleet {
  const { profile, scenario } = options;
  const candidates = candidatesOf(profile);
  const counts: Fleet["counts"] = new Map();
  const sides = new Map<string, SideModel>();
  const entries: EntryModel[] = [];

  function count(kind: SideFrameKind | "start"): void {
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
  }

  function delayMs(entry: number, dataCentre: string): number {
    const isLocal = dataCentreName(entry % profile.dataCentres) === dataCentre;
    return isLocal ? LOCAL_DELAY_MS : profile.delayMs;
  }

  function sendToEntry(entry: number, frame: LoadFrame): void {
    count(frame.kind);
    const { dataCentre } = candidates.find((c) => c.side === frame.side)!;
    clock.after(
      delayMs(entry, dataCentre),
      () => entries[entry]!.receive(frame),
    );
  }

  candidates.forEach((candidate, at) => {
    const side = createSideModel({
      name: candidate.side,
      slots: candidate.slots,
      speed: profile.speeds[at]!,
      entries: profile.entries,
      failingFromMs: at === 0 ? scenario.failingFromMs : Infinity,
      clock,
      send: sendToEntry,
    });
    sides.set(candidate.side, side);
    repeat(clock, HEARTBEAT_MS / 4, () => side.beat());
  });

  for (let entry = 0; entry < profile.entries; entry++) {
    const model = createEntryModel({
      ...createCores(options, entry, {
        delayMsTo: (dataCentre) => delayMs(entry, dataCentre),
        hasRoom: () => entries[entry]!.hasRoom(),
      }),
      number: entry,
      clock,
      candidates,
      send(side, start) {
        count("start");
        const { dataCentre } = candidates.find((c) => c.side === side)!;
        clock.after(
          delayMs(entry, dataCentre),
          () => sides.get(side)!.receive(start),
        );
      },
      onEnd,
    });
    entries.push(model);
    repeat(clock, TICK_MS, () => model.tick());
  }
  return { entries, counts };
}

function repeat(clock: Clock, everyMs: number, run: () => void): void {
  clock.after(everyMs, () => {
    run();
    repeat(clock, everyMs, run);
  });
}

/** The entry that owns a job; any even spread will do here. */
function ownerOf(at: number, entries: number): number {
  return (Math.imul(at + 1, 0x9e3779b1) >>> 16) % entries;
}

function scheduleJobs(
  jobs: readonly TrialJob[],
  clock: Clock,
  fleet: Fleet,
): void {
  jobs.forEach((job, at) => {
    const owner = fleet.entries[ownerOf(at, fleet.entries.length)]!;
    clock.after(job.atMs, () => owner.submit(job));
  });
}

function summarise(
  options: TrialOptions,
  jobs: readonly TrialJob[],
  ends: readonly JobEnd[],
  counts: Fleet["counts"],
): TrialReport {
  const { profile } = options;
  const roundTripMs = 2 * profile.delayMs;
  const reported = ends.filter((end) => end.job.atMs >= WARM_UP_MS);
  const [firstTenant] = profile.tenants;
  const others = reported.filter((end) => end.job.tenant !== firstTenant);
  const inTime = reported.filter(isInTime);
  const tasks = jobs.reduce((sum, job) => sum + job.tasks.length, 0);
  const started = counts.get("start") ?? 0;
  const refused = counts.get("refused") ?? 0;
  const failures = counts.get("failure") ?? 0;
  const results = (counts.get("result") ?? 0) + failures;
  const heartbeats = counts.get("heartbeat") ?? 0;
  const spanMs = options.durationMs - WARM_UP_MS;
  const work = inTime.reduce((sum, end) => sum + workMs(end.job), 0);
  return {
    profile: profile.name,
    scenario: options.scenario.name,
    policy: options.policyName,
    load: options.load,
    seed: options.seed,
    jobs: jobs.length,
    reportedJobs: reported.length,
    tasks,
    responseOverIdeal: quantilesOf(ratios(reported, roundTripMs)),
    othersOverIdeal: quantilesOf(ratios(others, roundTripMs)),
    perTenant: quantilesBy(reported, roundTripMs, (job) => job.tenant),
    perSize: bySize(reported, roundTripMs),
    goodput: work / (spanMs * capacityOf(profile)),
    refusedJobs: reported.filter((end) => end.state === "refused").length,
    failedJobs: reported.filter((end) => end.state === "failed").length,
    lateJobs:
      reported.filter((end) => end.state === "complete" && !isInTime(end))
        .length,
    failedTaskShare: failures / Math.max(1, results),
    messages: {
      starts: started - refused,
      repeatedStarts: refused,
      results,
      refused,
      heartbeats,
    },
    messagesPerTask: (started + results + refused + heartbeats) / tasks,
    wastedPerTask: (2 * refused + heartbeats) / tasks,
  };
}

export function runTrial(options: TrialOptions): TrialReport {
  const profile = applyScenario(options.profile, options.scenario);
  const load = options.scenario.load ?? options.load;
  const settled = { ...options, profile, load };
  const jobs = drawJobs(settled);
  const clock = createClock();
  const ends: JobEnd[] = [];
  const fleet = createFleet(settled, clock, (end) => ends.push(end));
  scheduleJobs(jobs, clock, fleet);
  clock.runUntil(options.durationMs);
  const heartbeats = fleet.counts.get("heartbeat") ?? 0;
  clock.runUntil(options.durationMs + COOL_DOWN_MS);
  // Heartbeats of the idle fleet after the last arrival say nothing of load.
  fleet.counts.set("heartbeat", heartbeats);
  return summarise(settled, jobs, ends, fleet.counts);
}
