/**
 * The demo: a fleet on loopback and a few thousand tasks. `--keep` leaves the
 * fleet running until SIGINT and prints its addresses.
 */
import process from "node:process";
import { cac } from "cac";
import { createHistograms } from "@coltsfootreach/measure";
import {
  type Fleet,
  type FleetOptions,
  readStarts,
  startFleet,
} from "@coltsfootreach/fleet";
import { type Returned, submit, type SubmittedJob } from "./caller.ts";
import { findFaults } from "./check.ts";

const TENANTS = ["kiln-crews", "bindery-desks", "river-carts"];

const CLASSES = ["heat-check", "recipe-release", "seal-confirmation"];

const FLEET: FleetOptions = {
  entries: 3,
  sides: 10,
  slots: 8,
  connections: 60,
  speeds: [1],
  classes: CLASSES,
  dataCentres: ["kiln-yard", "bindery-hall", "river-depot"],
  backendProcesses: 2,
};

const JOBS = 250;

const MAX_TASKS = 20;

const JOB_INTERVAL_MS = 25;

const SHORTEST_TASK_MS = 20;

const LONGEST_TASK_MS = 80;

function createJobs(): SubmittedJob[] {
  return Array.from({ length: JOBS }, (_, number) => {
    const tasks = 1 + (number * 7) % MAX_TASKS;
    const key = `demo-${number}`;
    return {
      key,
      tenant: TENANTS[number % TENANTS.length]!,
      class: CLASSES[number % CLASSES.length]!,
      firstSubmittedAtMs: Date.now(),
      tasks: Array.from({ length: tasks }, (_, index) => {
        const span = LONGEST_TASK_MS - SHORTEST_TASK_MS;
        const sleepMs = SHORTEST_TASK_MS + (number * 13 + index * 17) % span;
        const echo = `${key}/${index}`;
        return { body: JSON.stringify({ sleepMs, echo }) };
      }),
    };
  });
}

/** Submits one job every interval, to the entries in turn. */
async function submitAll(
  fleet: Fleet,
  jobs: readonly SubmittedJob[],
): Promise<Returned[]> {
  const replies: Promise<Returned>[] = [];
  for (const [number, job] of jobs.entries()) {
    const entry = fleet.entries[number % fleet.entries.length]!;
    replies.push(submit(entry.origin, job));
    await new Promise((wake) => setTimeout(wake, JOB_INTERVAL_MS));
  }
  return await Promise.all(replies);
}

function printHistograms(returned: readonly Returned[]): void {
  const histograms = createHistograms(TENANTS.length);
  for (const one of returned) {
    if (one.kind === "answer") {
      histograms.record(one.job.tenant, one.responseMs);
    }
  }
  console.log("response time by tenant, ms");
  for (const name of histograms.names()) {
    const { count, p50, p99, max } = histograms.percentiles(name)!;
    console.log(
      `  ${name.padEnd(16)} jobs ${count}  p50 ${p50}  p99 ${p99}  max ${max}`,
    );
  }
}

async function runDemo(): Promise<number> {
  const fleet = await startFleet(FLEET);
  console.log(`fleet: 3 entries, 10 sides; logs in ${fleet.folder}/logs`);
  const jobs = createJobs();
  const returned = await submitAll(fleet, jobs);
  const starts = await readStarts(fleet.backendOrigins);
  const faults = findFaults(returned, starts);
  const tasks = jobs.reduce((sum, job) => sum + job.tasks.length, 0);
  const complete = returned.filter((one) =>
    one.kind === "answer" && one.answer.state === "complete"
  );
  console.log(
    `jobs ${jobs.length}  complete ${complete.length}  ` +
      `tasks ${tasks}  started ${starts.size}`,
  );
  printHistograms(returned);
  console.log(`promises: ${JSON.stringify(faults)}`);
  const endedWell = await fleet.stop();
  const isKept = Object.values(faults).every((count) => count === 0);
  const isWhole = complete.length === jobs.length;
  console.log(isKept && isWhole && endedWell ? "all kept" : "BROKEN");
  return isKept && isWhole && endedWell ? 0 : 1;
}

async function keepFleet(): Promise<void> {
  const fleet = await startFleet(FLEET);
  for (const { child, origin, management } of fleet.entries) {
    console.log(`${child.name}: callers ${origin}  management ${management}`);
  }
  console.log(`operator: --settings ${fleet.operatorFile}`);
  console.log(`store: ${fleet.storeAddress}  controls ${fleet.storeControl}`);
  console.log(`settings and logs: ${fleet.folder}`);
  console.log("running until SIGINT");
  process.once("SIGINT", async () => {
    await fleet.stop();
    process.exit(0);
  });
}

const cli = cac("demo");
cli.option("--keep", "Leave the fleet running until SIGINT");
cli.help();
const { options } = cli.parse();
if (options.keep) await keepFleet();
else if (!options.help) process.exit(await runDemo());
