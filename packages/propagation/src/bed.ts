/** The fleet that is measured, with as many sides as asked for. */
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  type Child,
  type Fleet,
  startChild,
  startFleet,
} from "@coltsfootreach/fleet";
import type { StatusReport, TopReport } from "@coltsfootreach/manage";
import type { AutomaticAction } from "@coltsfootreach/types";
import { latestRuns, type ProcessRun, readRuns } from "./version_log.ts";

/** Sides that are processes of their own. */
const MAX_SIDE_PROCESSES = 10;

const SIDES_PER_HOST = 20;

const HOST = fileURLToPath(new URL("side_host_main.ts", import.meta.url));

const POLL_MS = 50;

export interface Bed {
  readonly fleet: Fleet;
  /** Names of all entries and sides. */
  readonly processes: readonly string[];
  runs(): readonly ProcessRun[];
  latest(): ReadonlyMap<string, ProcessRun>;
  /** What an entry's management interface says; undefined when silent. */
  status(entry: number): Promise<StatusReport | undefined>;
  top(entry: number): Promise<TopReport | undefined>;
  /** Acts on record at an entry; none when it is silent. */
  acts(entry: number): Promise<readonly AutomaticAction[]>;
  isReady(entry: number): Promise<boolean>;
  setStoreFaults(faults: object): Promise<void>;
  stop(): Promise<boolean>;
}

export async function startBed(sideCount: number): Promise<Bed> {
  const ownProcesses = Math.min(sideCount, MAX_SIDE_PROCESSES);
  const fleet = await startFleet({
    entries: 3,
    sides: ownProcesses,
    slots: 8,
    connections: 60,
    speeds: [1],
    classes: ["heat-check"],
    dataCentres: ["kiln-yard", "bindery-hall", "river-depot"],
    backendProcesses: 1,
  });
  const logs = join(fleet.folder, "logs");
  const hosts: Child[] = [];
  for (let first = ownProcesses; first < sideCount; first += SIDES_PER_HOST) {
    hosts.push(startHost(fleet, first, sideCount));
  }
  await Promise.all(hosts.map((host) => host.firstLine()));

  const processes = [
    ...fleet.entries.map(({ child }) => child.name),
    ...Array.from({ length: sideCount }, (_, index) => `side-${index}`),
  ];

  async function ask<Body>(entry: number, path: string) {
    const { management } = fleet.entries[entry]!;
    const authorization = `Bearer ${fleet.managementToken}`;
    const answer = await fetch(`${management}${path}`, {
      headers: { authorization },
      signal: AbortSignal.timeout(1000),
    }).catch(() => undefined);
    return answer?.ok ? await answer.json() as Body : undefined;
  }

  return {
    fleet,
    processes,
    runs: () => readRuns(logs),
    latest: () => latestRuns(readRuns(logs)),
    status: (entry) => ask<StatusReport>(entry, "/status"),
    top: (entry) => ask<TopReport>(entry, "/top"),
    acts: async (entry) =>
      await ask<readonly AutomaticAction[]>(entry, "/acts") ?? [],
    async isReady(entry) {
      const { origin } = fleet.entries[entry]!;
      const signal = AbortSignal.timeout(500);
      const answer = await fetch(`${origin}/readyz`, { signal })
        .catch(() => undefined);
      await answer?.body?.cancel();
      return answer?.ok ?? false;
    },
    async setStoreFaults(faults) {
      await fetch(`${fleet.storeControl}/standin/faults`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(faults),
      });
    },
    async stop() {
      hosts.forEach((host) => host.signal("SIGTERM"));
      const codes = await Promise.all(hosts.map((host) => host.ended()));
      const isFleetWell = await fleet.stop();
      return isFleetWell && codes.every((code) => code === 0);
    },
  };
}

function startHost(fleet: Fleet, first: number, sideCount: number): Child {
  const name = `sides-${first}`;
  const links = fleet.entries.map(({ link }) => link).join(",");
  return startChild({
    name,
    args: [
      "--import=tsx",
      HOST,
      `--first=${first}`,
      `--count=${Math.min(SIDES_PER_HOST, sideCount - first)}`,
      `--entries=${links}`,
    ],
    logFile: join(fleet.folder, "logs", `${name}.log`),
  });
}

export function sleep(ms: number): Promise<void> {
  return new Promise((wake) => setTimeout(wake, ms));
}

/** False when the condition was not met in time. */
export async function until(
  condition: () => Promise<boolean> | boolean,
  withinMs: number,
): Promise<boolean> {
  const untilMs = performance.now() + withinMs;
  while (!(await condition())) {
    if (performance.now() > untilMs) return false;
    await sleep(POLL_MS);
  }
  return true;
}
