/**
 * Prints the heap that one kind of state takes in the entry's core. Needs
 * `--expose-gc`, and a process of its own for each figure.
 */
import process from "node:process";
import { cac } from "cac";
import { createHistograms } from "@coltsfootreach/measure";
import { createTenantQueue } from "@coltsfootreach/limit";
import { jobId } from "@coltsfootreach/types";
import {
  addSides,
  CLASS,
  createCore,
  createFrame,
  createJob,
  createTable,
} from "./made_up.ts";
import { createGuardWithJobs } from "./made_up_side.ts";

const cli = cac("memory");
cli.option("--kind <name>", "live, kept, tenants or sides");
cli.option("--count <n>", "How many");
cli.option("--tasks <n>", "Tasks of each job", { default: 3 });
const { options } = cli.parse();
const count = Number(options.count);
const tasks = Number(options.tasks);

function heapBytes(): number {
  globalThis.gc!();
  globalThis.gc!();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function fillRecords(isKept: boolean): unknown {
  const core = createCore();
  core.tableLearned(createTable(1, 1), 0);
  core.tick({ nowMs: 0, wallMs: Date.now() });
  addSides(core, 1);
  for (let number = 0; number < count; number++) {
    const job = createJob(number, tasks);
    const id = jobId(job);
    const ask = { kind: "submit", job, wait: true } as const;
    core.request({ request: number, job: id, ask }, 0);
    if (!isKept) continue;
    core.dispatch(0);
    for (let index = 0; index < tasks; index++) {
      const outcome = {
        index,
        state: "complete",
        verdict: "ran",
        body: `${number}/${index}`,
        runMs: 50,
        server: "server-0",
      } as const;
      const messages = [{ kind: "result", job: id, outcome } as const];
      core.sideFrame(createFrame(0, { tableVersion: 1, messages }), 0);
    }
  }
  return core;
}

function fillTenants(): unknown {
  const histograms = createHistograms(count + 1);
  const queue = createTenantQueue();
  for (let number = 0; number < count; number++) {
    const tenant = `team-${number}`;
    histograms.record(tenant, 50);
    queue.push([{
      job: `${tenant}\nkey`,
      index: 0,
      tenant,
      class: CLASS,
      deadlineAtMs: 1000,
      declaredMs: 250,
    }]);
  }
  return [histograms, queue];
}

function fillSides(): unknown {
  const core = createCore();
  core.tableLearned(createTable(1, 1), 0);
  addSides(core, count);
  return core;
}

/** A side that ran one task of each job and keeps the evidence. */
function fillEvidence(): unknown {
  return createGuardWithJobs(count);
}

const FILL: Readonly<Record<string, () => unknown>> = {
  live: () => fillRecords(false),
  kept: () => fillRecords(true),
  tenants: fillTenants,
  sides: fillSides,
  evidence: fillEvidence,
};

const before = heapBytes();
const kept = FILL[options.kind]!();
const bytes = heapBytes() - before;
console.log(JSON.stringify({ bytes, isKept: kept !== undefined }));
