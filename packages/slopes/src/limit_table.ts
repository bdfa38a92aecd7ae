/** The table of bounds: at what size each is reached, and what would lift it. */
import { bytes, count, type MarkdownTable } from "./markdown.ts";
import {
  computeEntry,
  computeSide,
  computeSplit,
  crossing,
  EDITS_PER_SECOND,
  type EntryFigures,
  lineAt,
  type SideFigures,
  type Split,
} from "./model.ts";
import { findSeries, type Slopes } from "./series.ts";
import { ASSUMED, BUDGET, SETTING, TARGET } from "./target.ts";

/** One bound: the size that reaches it today and the size at the target. */
interface Limit {
  readonly what: string;
  readonly bound: string;
  readonly reachedAt: number;
  readonly unit: string;
  readonly target: number;
  readonly mechanism: string;
  /** True when the mechanism takes the bound away. */
  readonly isLifted?: boolean;
}

interface Scope {
  readonly slopes: Slopes;
  readonly split: Split;
  readonly side: SideFigures;
  readonly entry: EntryFigures;
}

export function createLimitTable(slopes: Slopes): MarkdownTable {
  const split = computeSplit(slopes, TARGET.regions);
  const side = computeSide(slopes, split.entries);
  const entry = computeEntry(slopes, split);
  const scope: Scope = { slopes, split, side, entry };
  const limits = [
    ...sideLimits(scope),
    ...entryLimits(scope),
    ...storeLimits(scope),
    ...configurationLimits(scope),
  ];
  return {
    head: ["what", "bound", "reached at", "at the target", "", "what lifts it"],
    rows: limits.map((limit) => [
      limit.what,
      limit.bound,
      `${count(limit.reachedAt)} ${limit.unit}`,
      `${count(limit.target)} ${limit.unit}`,
      verdictOf(limit),
      limit.mechanism,
    ]),
  };
}

function verdictOf(limit: Limit): string {
  if (limit.reachedAt >= limit.target) return "holds";
  return limit.isLifted ? "lifted" : "breaks";
}

function sideLimits({ slopes, split, side }: Scope): readonly Limit[] {
  const unit = "entries a table";
  const target = split.entries;
  const evidence = lineAt(slopes, "side.evidence.time", side.evidenceJobs);
  return [
    {
      what: "side at rest, processor",
      bound: `${BUDGET.cpuMsPerSecond} ms/s`,
      reachedAt: crossing(slopes, "side.rest.cpu", BUDGET.cpuMsPerSecond),
      unit,
      target,
      mechanism: "to be built: smaller tables; one timer for all links",
    },
    {
      what: "side at rest, bytes",
      bound: `${bytes(BUDGET.bytesPerSecond)}/s`,
      reachedAt: crossing(slopes, "side.rest.bytes", BUDGET.bytesPerSecond),
      unit,
      target,
      mechanism: "to be built: smaller tables",
    },
    {
      what: "side at rest, memory",
      bound: bytes(BUDGET.memoryBytes),
      reachedAt: crossing(slopes, "side.rest.memory", BUDGET.memoryBytes),
      unit,
      target,
      mechanism: "in code",
    },
    {
      what: "side, evidence of starts kept",
      bound: `${count(SETTING.maxEvidence)} jobs`,
      reachedAt: SETTING.maxEvidence / SETTING.evidenceWindowS,
      unit: "starts/s a side",
      target: side.startsPerSecond,
      mechanism: "in code: bounded, `evidenceFull` refuses beyond",
    },
    {
      what: "side, evidence after an entry is lost",
      bound: `${BUDGET.editMs} ms`,
      reachedAt: 1 + BUDGET.editMs / evidence,
      unit,
      target,
      mechanism: "to be built: evidence kept by sender, asked for once",
    },
    {
      what: "configuration to a side, from every entry",
      bound: `${bytes(BUDGET.bytesPerSecond)}/s`,
      reachedAt: (BUDGET.bytesPerSecond * split.entries) /
        side.excerptBytesPerSecond,
      unit,
      target,
      mechanism: "to be built: one entry tells a side, the rest wait",
    },
  ];
}

function entryLimits({ slopes, split, entry }: Scope): readonly Limit[] {
  const unit = "sides a table";
  const target = split.sides;
  const { workUs } = split.cost;
  const { slope } = findSeries(slopes, "core.cpu.task").fit;
  const burst = ASSUMED.linkBytesPerSecond * split.entries *
    (BUDGET.editMs / 1000);
  return [
    {
      what: "entry at rest, processor",
      bound: `${BUDGET.cpuMsPerSecond} ms/s`,
      reachedAt: crossing(slopes, "entry.rest.cpu", BUDGET.cpuMsPerSecond),
      unit,
      target,
      mechanism: "to be built: smaller tables; work only for what changed",
    },
    {
      what: "entry at rest, bytes",
      bound: `${bytes(BUDGET.bytesPerSecond)}/s`,
      reachedAt: crossing(slopes, "entry.rest.bytes", BUDGET.bytesPerSecond),
      unit,
      target,
      mechanism: "to be built: smaller tables",
    },
    {
      what: "entry at rest, memory",
      bound: bytes(BUDGET.memoryBytes),
      reachedAt: crossing(slopes, "entry.memory.sides", BUDGET.memoryBytes),
      unit,
      target,
      mechanism: "to be built: smaller tables",
    },
    {
      what: "candidates cost as much as the task's other work",
      bound: `${count(workUs)} µs`,
      reachedAt: slope <= 0 ? Infinity : workUs / slope,
      unit,
      target,
      mechanism: "in code: lists kept while nothing changes; policy samples",
    },
    {
      what: "hand-over messages of one table change",
      bound: `${BUDGET.editMs} ms of the links`,
      reachedAt: (burst / entry.handOverBytes) * target,
      unit,
      target,
      mechanism: "to be built: registrations sent once, then differences",
    },
    {
      what: "records kept for resubmission",
      bound: `${count(SETTING.maxRecords)} records`,
      reachedAt: SETTING.maxRecords / SETTING.recordWindowS,
      unit: "jobs/s an entry",
      target: entry.jobsPerSecond,
      mechanism: "in code: `limits.jobs`; refuses beyond",
    },
    {
      what: "search of a key's owner",
      bound: `${count(workUs)} µs`,
      reachedAt: crossing(slopes, "core.cpu.owner", workUs),
      unit: "entries a table",
      target: split.entries,
      mechanism: "in code: hash of a member kept, mixed with the key's",
    },
  ];
}

function storeLimits({ slopes, split }: Scope): readonly Limit[] {
  const unit = "entries in all";
  const target = split.allEntries;
  const { slope } = findSeries(slopes, "store.calls.entries").fit;
  return [
    {
      what: "lease renewals",
      bound: `${BUDGET.storeWritesPerSecond} writes/s`,
      reachedAt: BUDGET.storeWritesPerSecond / SETTING.renewalsPerSecond,
      unit,
      target,
      mechanism: "to be built: longer leases, or one for the entries of a VM",
    },
    {
      what: "all calls at rest",
      bound: `${
        count(BUDGET.storeReadsPerSecond + BUDGET.storeWritesPerSecond)
      } calls/s`,
      reachedAt: (BUDGET.storeReadsPerSecond + BUDGET.storeWritesPerSecond) /
        slope,
      unit,
      target,
      mechanism: "in code: one lease and one watch an entry, none a side",
    },
  ];
}

function configurationLimits(scope: Scope): readonly Limit[] {
  const { slopes, split, entry } = scope;
  const unit = "workers";
  const target = TARGET.workers;
  const budgetMs = BUDGET.cpuMsPerSecond / EDITS_PER_SECOND;
  return [
    {
      what: "entry reads an edit",
      bound: `${BUDGET.cpuMsPerSecond} ms/s`,
      reachedAt: crossing(slopes, "configuration.edit", budgetMs),
      unit,
      target,
      mechanism: "in code: parts read ahead, unchanged parts kept",
    },
    {
      what: "entry reads the whole document at its start",
      bound: `${BUDGET.editMs} ms`,
      reachedAt: crossing(slopes, "configuration.parse", BUDGET.editMs),
      unit,
      target,
      mechanism: "in code: read in parts with pauses",
    },
    {
      what: "document in one value of the store",
      bound: "1 MB",
      reachedAt: crossing(slopes, "configuration.bytes", 1e6),
      unit,
      target,
      mechanism: "in code: parts of at most 512 KB, archived by content",
      isLifted: true,
    },
    {
      what: "document from entry to entry",
      bound: `${bytes(BUDGET.bytesPerSecond)}/s`,
      reachedAt: (BUDGET.bytesPerSecond * target) /
        entry.peerEditBytesPerSecond,
      unit,
      target,
      mechanism: "to be built: the version alone, unless the store is out",
    },
    {
      what: "edits read from the store by every entry",
      bound: `${count(BUDGET.storeReadsPerSecond)} reads/s`,
      reachedAt: BUDGET.storeReadsPerSecond / EDITS_PER_SECOND / 2,
      unit: "entries in all",
      target: split.allEntries,
      mechanism: "in code: head by the watch, changed parts read",
    },
  ];
}
