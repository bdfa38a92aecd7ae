/**
 * Lets the program's two roles work for some seconds while it is built, so that
 * V8's compiled code for what they use can be kept beside the program.
 */
import { rmSync } from "node:fs";
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

const SIZE = { entries: 1, sides: 2, jobsPerSecond: 60 };

/** Time until the processes take calls. */
const START_MS = 1000;

/** The program keeps its compiled code by then, and ends. */
const COMPILE_AFTER_MS = 5500;

const END_MS = 6000;

const SEED = 1;

/** For settings and logs, while it lasts. */
const FOLDER = "target/warm_up";

/** Builds may run side by side; each has loopback addresses of its own. */
const FIRST_NETWORK = 221;

const NETWORKS = 30;

async function warmUp(): Promise<void> {
  process.env.COLTSFOOTREACH_COMPILE_AFTER_MS = String(COMPILE_AFTER_MS);
  const startedAt = performance.now();
  const now = () => performance.now() - startedAt;
  const random = createRandom(SEED);
  const truths = new Map<string, readonly TaskProfile[]>();
  const checker = createChecker({ now, trace() {} });
  const queue = sampleQueue();
  const fleet = await startFleet({
    size: SIZE,
    service: queue.service,
    random,
    checker,
    folder: FOLDER,
    network: `127.${FIRST_NETWORK + process.pid % NETWORKS}`,
    now,
    profileOf: ({ task }) => truths.get(task.job)![task.index]!,
  });
  fleet.store.write(configurationDocument.key, formatConfiguration(1, queue));
  await sleep(START_MS);
  const callers = startCallers({
    addresses: fleet.entries.map((entry) => entry.callers.address),
    random,
    checker,
    queue,
    jobsPerSecond: SIZE.jobsPerSecond,
    isPlanned: false,
    taskProfiles: truths,
  });
  await sleep(END_MS - START_MS);
  callers.stop();
  await fleet.stop();
  rmSync(FOLDER, { recursive: true });
}

await warmUp();
process.exit(0);
