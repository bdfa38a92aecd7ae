/** Runs one soak: a fleet of processes, callers and faults, drawn from a seed. */
import { setTimeout as sleep } from "node:timers/promises";
import {
  configurationDocument,
  formatConfiguration,
} from "@coltsfootreach/platform";
import {
  type CheckerCounts,
  createChecker,
  createRandom,
  type TaskProfile,
  type Violation,
} from "@coltsfootreach/simulate";
import { sampleQueue } from "@coltsfootreach/standin";
import { startCallers } from "./callers.ts";
import { injectFaults } from "./faults.ts";
import { startFleet } from "./fleet.ts";
import type { FleetSize } from "./sizes.ts";
import { findFreeNetwork } from "./network.ts";

export interface SoakOptions {
  readonly seed: number;
  /** Duration of fault injection. */
  readonly seconds: number;
  readonly size: FleetSize;
  /** Only planned faults, at longer intervals. */
  readonly isPlannedOnly?: boolean | undefined;
  /** Names of the faults to draw from; all if undefined. */
  readonly faults?: readonly string[] | undefined;
  /** Folder for settings files and logs. */
  readonly folder: string;
  trace?(atMs: number, message: string): void;
}

export interface SoakResult {
  readonly seed: number;
  readonly breaches: readonly Violation[];
  readonly counts: CheckerCounts;
  readonly faults: readonly string[];
}

const FAULT_INTERVAL_MS = 700;

/** An entry takes about 3 s to stop and 1 s to become ready again. */
const PLANNED_FAULT_INTERVAL_MS = 5000;

/** Time for the processes to start; `RECOVERY_MS` follows the last fault. */
const STARTUP_MS = 2500;

const RECOVERY_MS = 6000;

const MEASUREMENT_MS = 3000;

/** Minimum share of the jobs submitted after the recovery that complete. */
const MIN_COMPLETED_RATIO = 0.75;

export async function soak(options: SoakOptions): Promise<SoakResult> {
  const { seed, size, folder } = options;
  const startedAt = performance.now();
  const now = () => performance.now() - startedAt;
  const random = createRandom(seed);
  const isPlannedOnly = options.isPlannedOnly ?? false;
  const taskProfilesByJob = new Map<string, readonly TaskProfile[]>();
  const faults: string[] = [];
  let isFinished = false;
  const trace = (what: string) => {
    if (!isFinished) options.trace?.(now(), what);
  };
  const checker = createChecker({ now, trace });
  const queue = sampleQueue();
  const fleet = await startFleet({
    size,
    service: queue.service,
    random,
    checker,
    folder,
    networkPrefix: await findFreeNetwork(),
    now,
    taskProfile: ({ task }) => taskProfilesByJob.get(task.job)![task.index]!,
  });
  let version = 1;

  function changeConfiguration(): void {
    const document = formatConfiguration(version, queue);
    fleet.store.write(configurationDocument.key, document);
    version += 3;
  }

  changeConfiguration();
  await sleep(STARTUP_MS);
  const callers = startCallers({
    addresses: fleet.entries.map((entry) => entry.callerRelay.address),
    random: createRandom(seed + 1),
    checker,
    queue,
    jobsPerSecond: size.jobsPerSecond,
    isPlannedOnly,
    taskProfilesByJob,
  });
  await injectFaults({
    fleet,
    random: createRandom(seed + 2),
    meanIntervalMs: isPlannedOnly
      ? PLANNED_FAULT_INTERVAL_MS
      : FAULT_INTERVAL_MS,
    isPlannedOnly,
    only: options.faults,
    forMs: options.seconds * 1000,
    changeConfiguration,
    note(fault) {
      faults.push(`${Math.round(now())} ${fault}`);
      trace(`fault ${fault}`);
    },
  });
  await sleep(RECOVERY_MS);
  const { submitted, completed } = await callers.measure(MEASUREMENT_MS);
  if (completed < submitted * MIN_COMPLETED_RATIO) {
    checker.reportViolation("RECOVER", `${completed} of ${submitted}`);
  }
  callers.stop();
  await fleet.stop();
  isFinished = true;
  const breaches = checker.breaches();
  return { seed, breaches, counts: checker.counts(), faults };
}
