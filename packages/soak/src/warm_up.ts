/**
 * Build step that runs both roles of the program under load for some seconds,
 * so that the V8 code cache stored beside it covers the functions in use.
 */
import { existsSync, rmSync } from "node:fs";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import {
  configurationDocument,
  formatConfiguration,
} from "@coltsfootreach/platform";
import {
  createChecker,
  createRandom,
  type TaskProfile,
} from "@coltsfootreach/simulate";
import { sampleQueue } from "@coltsfootreach/standin";
import { startCallers } from "./callers.ts";
import { startFleet } from "./fleet.ts";
import { findFreeNetwork } from "./network.ts";

const FLEET_SIZE = { entries: 1, sides: 2, jobsPerSecond: 60 };

/** Time until the processes accept requests. */
const STARTUP_MS = 1000;

/** Time after which the program writes its code cache. */
const COMPILE_AFTER_MS = 5500;

const CODE_CACHES = [
  "target/program.entry.compiled",
  "target/program.side.compiled",
];

/** A busy machine takes longer to write them; the build sets the limit. */
const CODE_CACHE_POLL_INTERVAL_MS = 100;

const SEED = 1;

/** Temporary folder for settings files and logs. */
const OUTPUT_FOLDER = "target/warm_up";

async function warmUp(): Promise<void> {
  process.env.COLTSFOOTREACH_COMPILE_AFTER_MS = String(COMPILE_AFTER_MS);
  const startedAt = performance.now();
  const now = () => performance.now() - startedAt;
  const random = createRandom(SEED);
  const taskProfilesByJob = new Map<string, readonly TaskProfile[]>();
  const checker = createChecker({ now, trace() {} });
  const queue = sampleQueue();
  const fleet = await startFleet({
    size: FLEET_SIZE,
    service: queue.service,
    random,
    checker,
    folder: OUTPUT_FOLDER,
    networkPrefix: await findFreeNetwork(),
    now,
    taskProfile: ({ task }) => taskProfilesByJob.get(task.job)![task.index]!,
  });
  fleet.store.write(configurationDocument.key, formatConfiguration(1, queue));
  await sleep(STARTUP_MS);
  const callers = startCallers({
    addresses: fleet.entries.map((entry) => entry.callerRelay.address),
    random,
    checker,
    queue,
    jobsPerSecond: FLEET_SIZE.jobsPerSecond,
    isPlannedOnly: false,
    taskProfilesByJob,
  });
  await sleep(COMPILE_AFTER_MS - STARTUP_MS);
  while (!CODE_CACHES.every((file) => existsSync(file))) {
    await sleep(CODE_CACHE_POLL_INTERVAL_MS);
  }
  callers.stop();
  await fleet.stop();
  rmSync(OUTPUT_FOLDER, { recursive: true });
}

await warmUp();
process.exit(0);
