/** Works out the target's figures from the slopes, for one way to split it. */
import { findSeries, type Slopes } from "./series.ts";
import { ASSUMED, SECONDS_PER_DAY, SETTING, TARGET } from "./target.ts";

const US_PER_MS = 1000;

const MS_PER_SECOND = 1000;

/** Share of jobs that the run with three entries forwards. */
const FORWARDED_SHARE = 2 / 3;

/** Value of a series' line. */
export function lineAt(slopes: Slopes, name: string, x: number): number {
  const { base, slope } = findSeries(slopes, name).fit;
  return Math.max(0, base + slope * x);
}

/** The x at which a series' line reaches a bound; 0 when it starts above. */
export function crossing(slopes: Slopes, name: string, bound: number): number {
  const { base, slope } = findSeries(slopes, name).fit;
  if (base >= bound) return 0;
  return slope <= 0 ? Infinity : (bound - base) / slope;
}

export interface EntryCost {
  /** A task of a job at its owner, in batches of many tasks to a frame. */
  readonly workUs: number;
  /** The share of a task in forwarding its job. */
  readonly forwardUs: number;
  /** The candidate lists, by the number of sides. */
  readonly placeUs: number;
  /** A frame for each start and one for each result. */
  readonly framesUs: number;
  readonly taskUs: number;
}

export interface Split {
  readonly tables: number;
  readonly sides: number;
  readonly startsPerSecond: number;
  readonly cost: EntryCost;
  /** Processor time of an entry that does nothing but hold its sides. */
  readonly entryRestMsPerSecond: number;
  /** Entries of one table; infinite when rest alone takes their share. */
  readonly entries: number;
  readonly allEntries: number;
}

export function computeSplit(slopes: Slopes, tables: number): Split {
  const sides = TARGET.workers / tables;
  const startsPerSecond = TARGET.startsPerSecond / tables;
  const cost = computeEntryCost(slopes, sides);
  const restMs = lineAt(slopes, "entry.rest.cpu", sides);
  const leftMs = ASSUMED.entryShare * MS_PER_SECOND - restMs;
  const workMs = (startsPerSecond * cost.taskUs) / US_PER_MS;
  const entries = leftMs <= 0 ? Infinity : Math.ceil(workMs / leftMs);
  return {
    tables,
    sides,
    startsPerSecond,
    cost,
    entryRestMsPerSecond: restMs,
    entries,
    allEntries: entries * tables,
  };
}

function computeEntryCost(slopes: Slopes, sides: number): EntryCost {
  const tasks = ASSUMED.tasksPerJob;
  const owned = lineAt(slopes, "entry.cpu.owned", tasks);
  const shared = lineAt(slopes, "entry.cpu.forwarded", tasks);
  const workUs = owned / tasks;
  const forwardUs = Math.max(0, shared - owned) / FORWARDED_SHARE / tasks;
  const { slope } = findSeries(slopes, "core.cpu.task").fit;
  const placeUs = Math.max(0, slope) * sides;
  // An idle side costs one frame each way in a heartbeat's interval.
  const { slope: restMs } = findSeries(slopes, "entry.rest.cpu").fit;
  const framesUs = restMs * US_PER_MS * SETTING.heartbeatS;
  const taskUs = workUs + forwardUs + placeUs + framesUs;
  return { workUs, forwardUs, placeUs, framesUs, taskUs };
}

export const EDITS_PER_SECOND = TARGET.editsPerDay / SECONDS_PER_DAY;

export interface SideFigures {
  readonly cpuMsPerSecond: number;
  readonly bytesPerSecond: number;
  readonly memoryBytes: number;
  readonly startsPerSecond: number;
  /** Jobs with evidence when each start is of another job. */
  readonly evidenceJobs: number;
  readonly evidenceBytes: number;
  /** Bytes that all entries push when the table changes. */
  readonly tablePushBytes: number;
  /** Time to answer every entry after one was lost. */
  readonly evidenceMs: number;
  readonly excerptBytesPerSecond: number;
}

export function computeSide(slopes: Slopes, entries: number): SideFigures {
  const startsPerSecond = TARGET.startsPerSecond / TARGET.workers;
  const evidenceJobs = Math.min(
    SETTING.maxEvidence,
    startsPerSecond * SETTING.evidenceWindowS,
  );
  const excerptBytes = findSeries(slopes, "configuration.push.bytes").fit.slope;
  return {
    startsPerSecond,
    evidenceJobs,
    cpuMsPerSecond: lineAt(slopes, "side.rest.cpu", entries),
    bytesPerSecond: lineAt(slopes, "side.rest.bytes", entries),
    memoryBytes: lineAt(slopes, "side.rest.memory", entries),
    evidenceBytes: lineAt(slopes, "side.heap.evidence", evidenceJobs),
    tablePushBytes: entries * lineAt(slopes, "table.bytes", entries),
    evidenceMs: (entries - 1) *
      lineAt(slopes, "side.evidence.time", evidenceJobs),
    excerptBytesPerSecond: entries * excerptBytes * EDITS_PER_SECOND,
  };
}

export interface EntryFigures {
  readonly restBytesPerSecond: number;
  readonly memoryBytes: number;
  readonly jobsPerSecond: number;
  /** Records that the window asks for, whatever the bound allows. */
  readonly keptRecords: number;
  readonly keptBytes: number;
  readonly tenantBytes: number;
  readonly ownerUs: number;
  /** Bytes of all hand-over messages when the table changes once. */
  readonly handOverBytes: number;
  readonly editMs: number;
  readonly editMsPerSecond: number;
  /** Bytes a second that configuration takes to the other entries. */
  readonly peerEditBytesPerSecond: number;
}

export function computeEntry(slopes: Slopes, split: Split): EntryFigures {
  const { entries, sides } = split;
  const jobsPerSecond = split.startsPerSecond / ASSUMED.tasksPerJob / entries;
  const keptRecords = jobsPerSecond * SETTING.recordWindowS;
  const editMs = lineAt(slopes, "configuration.edit", TARGET.workers);
  const documentBytes = lineAt(slopes, "configuration.bytes", TARGET.workers);
  const registrations = lineAt(slopes, "registrations.bytes", sides);
  return {
    restBytesPerSecond: lineAt(slopes, "entry.rest.bytes", sides),
    memoryBytes: lineAt(slopes, "entry.memory.sides", sides),
    jobsPerSecond,
    keptRecords,
    keptBytes: lineAt(slopes, "entry.heap.kept30", keptRecords),
    tenantBytes: lineAt(slopes, "entry.heap.tenants", TARGET.tenants),
    ownerUs: lineAt(slopes, "core.cpu.owner", entries),
    handOverBytes: entries * (entries - 1) * registrations,
    editMs,
    editMsPerSecond: editMs * EDITS_PER_SECOND,
    peerEditBytesPerSecond: (entries - 1) * documentBytes * EDITS_PER_SECOND,
  };
}
