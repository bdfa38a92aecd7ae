/**
 * The entry's core alone when another entry is lost or one joins. The lapse of
 * the lost entry's lease and the round trips come on top.
 */
import type { JobEvidence } from "@coltsfootreach/types";
import { jobId, type SideMessage } from "@coltsfootreach/types";
import { ownerOf } from "@coltsfootreach/ownership";
import {
  addSides,
  createCore,
  createFrame,
  createJob,
  createMember,
  createTable,
  withoutLast,
} from "./made_up.ts";
import { createSeries, type Series } from "./series.ts";
import { median } from "./watched.ts";

const RECORDS = [1000, 3000, 10_000];

const SIDES = [10, 100, 1000, 3000];

const FEW_SIDES = 10;

const FEW_RECORDS = 1000;

const TASKS = 3;

const ROUNDS = 3;

const MEMBERS = 3;

/** Jobs that fall to the first member when the last one is lost. */
const NO_DOUBT = {
  tableVersion: 0,
  bornBeforeWallMs: 0,
  leftMs: 0,
  isNew: false,
};

function lostJobs(count: number): readonly JobEvidence[] {
  const before = createTable(1, MEMBERS);
  const after = withoutLast(before);
  const lost = before.members.at(-1)!.incarnation;
  const jobs: JobEvidence[] = [];
  for (let number = 0; jobs.length < count; number++) {
    const job = jobId(createJob(number, 1));
    const isLost = ownerOf(before, job)?.incarnation === lost;
    const isOwn = ownerOf(after, job)?.incarnation ===
      createMember(0).incarnation;
    if (!isLost || !isOwn) continue;
    const tasks = Array.from({ length: TASKS }, (_, index) => ({
      index,
      state: "running" as const,
      attempt: 1,
    }));
    jobs.push({ job, sealed: false, of: TASKS, tasks });
  }
  return jobs;
}

/** Milliseconds of the core to take over running jobs from their evidence. */
function measureLoss(records: number, sides: number): number {
  const core = createCore();
  const table = createTable(1, MEMBERS);
  core.tableLearned(table, 0);
  for (const { incarnation: entry } of table.members.slice(1)) {
    const handOver = { kind: "handOver", batch: 1, tableVersion: 1 } as const;
    const message = {
      ...handOver,
      records: [],
      sides: [],
      endedSides: [],
      doubt: NO_DOUBT,
    };
    const header = { entry, tableVersion: 1, configurationVersion: 1 };
    core.peerFrame({ ...header, messages: [message] }, 0);
  }
  core.tick({ nowMs: 0, wallMs: Date.now() });
  addSides(core, sides);
  const jobs = lostJobs(records);
  const perSide = Math.ceil(records / sides);
  const next = withoutLast(table);
  const startedAtMs = performance.now();
  core.tableLearned(next, 0);
  for (let side = 0; side < sides; side++) {
    const own = jobs.slice(side * perSide, (side + 1) * perSide);
    const evidence: SideMessage = {
      kind: "evidence",
      tableVersion: next.version,
      jobs: own,
    };
    const messages = [evidence];
    const { version: tableVersion } = next;
    core.sideFrame(createFrame(side, { tableVersion, messages }), 0);
  }
  core.tick({ nowMs: 1, wallMs: Date.now() });
  const elapsedMs = performance.now() - startedAtMs;
  if (core.records.size() !== records) throw new Error("records are missing");
  return elapsedMs;
}

interface HandOverCost {
  readonly elapsedMs: number;
  readonly snapshots: number;
}

/** Milliseconds of the core to give the records of a joiner away. */
function measureJoin(records: number): HandOverCost {
  const core = createCore();
  core.tableLearned(createTable(1, 1), 0);
  core.tick({ nowMs: 0, wallMs: Date.now() });
  for (let number = 0; number < records; number++) {
    const job = createJob(number, TASKS);
    const ask = { kind: "submit", job, wait: true } as const;
    core.request({ request: number, job: jobId(job), ask }, 0);
  }
  const joiner = createMember(1).incarnation;
  core.peerUp(joiner, 0);
  const startedAtMs = performance.now();
  let snapshots = 0;
  for (const effect of core.tableLearned(createTable(2, 2), 0)) {
    if (effect.kind !== "toPeer" || effect.message.kind !== "handOver") {
      continue;
    }
    snapshots += effect.message.records.length;
  }
  return { elapsedMs: performance.now() - startedAtMs, snapshots };
}

function repeat(measure: () => number): number {
  return median(Array.from({ length: ROUNDS }, measure));
}

export function measureTakeover(): readonly Series[] {
  const subject = "core" as const;
  return [
    createSeries({
      name: "takeover.records",
      y: `core time to take over from the evidence of ${FEW_SIDES} sides, ms`,
      x: "running jobs",
      subject,
      points: RECORDS.map((x) => ({
        x,
        y: repeat(() => measureLoss(x, FEW_SIDES)),
      })),
    }),
    createSeries({
      name: "takeover.sides",
      y: `core time to take over ${FEW_RECORDS} running jobs, ms`,
      x: "sides",
      subject,
      points: SIDES.map((x) => ({
        x,
        y: repeat(() => measureLoss(FEW_RECORDS, x)),
      })),
    }),
    createSeries({
      name: "handover.records",
      y: "core time to give records to an entry that joins, ms",
      x: "records moved",
      subject,
      points: RECORDS.map((records) => {
        const costs = Array.from(
          { length: ROUNDS },
          () => measureJoin(records),
        );
        return {
          x: costs[0]!.snapshots,
          y: median(costs.map((cost) => cost.elapsedMs)),
        };
      }),
    }),
  ];
}
