/**
 * The entry's core alone: processor time for each task by the number of sides
 * that are candidates, and the search of a key's owner by members.
 */
import { ownerOf } from "@coltsfootreach/ownership";
import { jobId } from "@coltsfootreach/types";
import {
  addSides,
  createCore,
  createFrame,
  createJob,
  createTable,
  incarnationOf,
} from "./made_up.ts";
import { createSeries, type Series } from "./series.ts";
import { median } from "./watched.ts";

const SIDES = [10, 100, 1000, 3000];

const MEMBERS = [3, 30, 100, 300];

const JOBS = 20;

const TASKS = 30;

const WARM_JOBS = 5;

const LOOKUPS = 2000;

const ROUNDS = 3;

const US_PER_MS = 1000;

/** Time for each task from submission to placed starts, in microseconds. */
function measurePlacing(sides: number): number {
  const core = createCore();
  core.tableLearned(createTable(1, 1), 0);
  core.tick({ nowMs: 0, wallMs: Date.now() });
  addSides(core, sides);
  const tableVersion = 1;
  let placed = 0;

  function placeJob(number: number): void {
    const job = createJob(number, TASKS);
    const ask = { kind: "submit", job, wait: true } as const;
    core.request({ request: number, job: jobId(job), ask }, 0);
    for (const effect of core.dispatch(0)) {
      if (effect.kind !== "toSide" || effect.message.kind !== "start") continue;
      placed += 1;
      starts.push({ side: effect.side, index: effect.message.index });
    }
    for (const { side, index } of starts.splice(0)) {
      const outcome = {
        index,
        state: "complete",
        verdict: "ran",
        runMs: 50,
      } as const;
      const messages = [{ kind: "result", job: jobId(job), outcome } as const];
      const frame = createFrame(0, { tableVersion, messages });
      core.sideFrame({ ...frame, incarnation: side }, 0);
    }
  }

  const starts: { side: string; index: number }[] = [];
  for (let number = 0; number < WARM_JOBS; number++) placeJob(number);
  placed = 0;
  const startedAtMs = performance.now();
  for (let number = 0; number < JOBS; number++) placeJob(WARM_JOBS + number);
  const elapsedMs = performance.now() - startedAtMs;
  if (placed !== JOBS * TASKS) throw new Error(`placed ${placed} tasks`);
  return (US_PER_MS * elapsedMs) / placed;
}

/** Time to find the owner of a key, in microseconds. */
function measureOwner(members: number): number {
  const table = createTable(1, members);
  const startedAtMs = performance.now();
  for (let number = 0; number < LOOKUPS; number++) {
    ownerOf(table, incarnationOf(number));
  }
  return (US_PER_MS * (performance.now() - startedAtMs)) / LOOKUPS;
}

function repeat(measure: () => number): number {
  return median(Array.from({ length: ROUNDS }, measure));
}

export function measurePlacement(): readonly Series[] {
  return [
    createSeries({
      name: "core.cpu.task",
      y: "core time per task, us",
      x: "sides",
      subject: "core",
      points: SIDES.map((x) => ({ x, y: repeat(() => measurePlacing(x)) })),
    }),
    createSeries({
      name: "core.cpu.owner",
      y: "time to find a key's owner, us",
      x: "members",
      subject: "core",
      points: MEMBERS.map((x) => ({ x, y: repeat(() => measureOwner(x)) })),
    }),
  ];
}
