/** One soak: a fleet of processes, callers and faults, all drawn from a seed. */
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
import { playFaults } from "./faults.ts";
import { startFleet } from "./fleet.ts";
import type { Size } from "./sizes.ts";

export interface SoakOptions {
  readonly seed: number;
  /** Time in which faults come. */
  readonly seconds: number;
  readonly size: Size;
  /** Only planned faults, each of them some time after the one before. */
  readonly isPlanned?: boolean | undefined;
  /** Folder for settings and logs. */
  readonly folder: string;
  trace?(at: number, what: string): void;
}

export interface SoakResult {
  readonly seed: number;
  readonly breaches: readonly Violation[];
  readonly counts: CheckerCounts;
  readonly faults: readonly string[];
}

const FAULT_EVERY_MS = 700;

/** An entry takes some 3 s to stop and 1 s to be back. */
const PLANNED_EVERY_MS = 5000;

/** Time for processes to start, and to recover after the last fault. */
const START_MS = 2500;

const RECOVER_MS = 6000;

const LAST_MS = 3000;

/** Share of the jobs after the recovery that must be completed. */
const RECOVERED_SHARE = 0.75;

const NETWORKS = 200;

const FIRST_NETWORK = 20;

export async function soak(options: SoakOptions): Promise<SoakResult> {
  const { seed, size, folder } = options;
  const startedAt = performance.now();
  const now = () => performance.now() - startedAt;
  const random = createRandom(seed);
  const isPlanned = options.isPlanned ?? false;
  const truths = new Map<string, readonly TaskProfile[]>();
  const faults: string[] = [];
  let isOver = false;
  const trace = (what: string) => {
    if (!isOver) options.trace?.(now(), what);
  };
  const checker = createChecker({ now, trace });
  const queue = sampleQueue();
  const fleet = await startFleet({
    size,
    service: queue.service,
    random,
    checker,
    folder,
    network: `127.${FIRST_NETWORK + seed % NETWORKS}`,
    now,
    profileOf: ({ task }) => truths.get(task.job)![task.index]!,
  });
  let version = 1;

  function changeConfiguration(): void {
    const document = formatConfiguration(version, queue);
    fleet.store.write(configurationDocument.key, document);
    version += 3;
  }

  changeConfiguration();
  await sleep(START_MS);
  const callers = startCallers({
    addresses: fleet.entries.map((entry) => entry.callers.address),
    random: createRandom(seed + 1),
    checker,
    queue,
    jobsPerSecond: size.jobsPerSecond,
    isPlanned,
    taskProfiles: truths,
  });
  await playFaults({
    fleet,
    random: createRandom(seed + 2),
    everyMs: isPlanned ? PLANNED_EVERY_MS : FAULT_EVERY_MS,
    isPlanned,
    forMs: options.seconds * 1000,
    changeConfiguration,
    note(fault) {
      faults.push(`${Math.round(now())} ${fault}`);
      trace(`fault ${fault}`);
    },
  });
  await sleep(RECOVER_MS);
  callers.takeShare();
  await sleep(LAST_MS);
  const { asked, completed } = callers.takeShare();
  if (completed < asked * RECOVERED_SHARE) {
    checker.reportViolation("RECOVER", `${completed} of ${asked}`);
  }
  callers.stop();
  await fleet.stop();
  isOver = true;
  const breaches = checker.breaches();
  return { seed, breaches, counts: checker.counts(), faults };
}
