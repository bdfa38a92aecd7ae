/**
 * A side daemon at rest by the number of entries: processor time, memory and
 * bytes a second; and the entries' store calls. The entries stand in one
 * process with a store in memory; the streams are real.
 */
import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  type Child,
  findFreePorts,
  readUsage,
  startChild,
  stopChildren,
  writeSideFile,
} from "@coltsfootreach/fleet";
import { CLASS } from "./made_up.ts";
import type { Point } from "./fit.ts";
import { createSeries, type Series } from "./series.ts";
import { median, pause } from "./watched.ts";

const ENTRIES = [1, 3, 10, 30];

/** Sides measured at once; the median counts. */
const SIDES = 5;

const SETTLE_MS = 4000;

const WATCH_MS = 15_000;

const MS_PER_SECOND = 1000;

const ROOT = fileURLToPath(new URL("../../..", import.meta.url));

interface Rest {
  readonly entries: number;
  readonly cpuMsPerSecond: number;
  readonly residentBytes: number;
  readonly bytesPerSecond: number;
  readonly storeCallsPerSecond: number;
}

async function measureRest(entries: number): Promise<Rest> {
  const folder = mkdtempSync(join(tmpdir(), "coltsfootreach-slopes-"));
  const children: Child[] = [];

  function start(name: string, args: readonly string[]): Child {
    const logFile = join(folder, `${name}.log`);
    const child = startChild({ name, args, logFile });
    children.push(child);
    return child;
  }

  const callsFile = join(folder, "calls");
  const owner = start("entries", [
    "--import=tsx",
    join(ROOT, "packages/slopes/src/entries_main.ts"),
    `--count=${entries}`,
    `--calls=${callsFile}`,
  ]);
  try {
    const { addresses } = JSON.parse(await owner.firstLine());
    const sides = await startSides(folder, addresses, start);
    await pause(SETTLE_MS);
    return await watchSides(sides, entries, callsFile);
  } finally {
    // Sides drain, so they go while the entries can still hear them.
    for (const child of children.reverse()) await stopChildren([child]);
  }
}

async function startSides(
  folder: string,
  addresses: readonly string[],
  start: (name: string, args: readonly string[]) => Child,
): Promise<readonly Child[]> {
  const ports = await findFreePorts(SIDES);
  const sides = ports.map((announcementPort, index) => {
    const name = `side-${index}`;
    const file = writeSideFile(folder, {
      name,
      dataCentre: "kiln-yard",
      rack: "rack-0",
      worker: `worker-${index}`,
      announcementPort,
      entries: addresses.slice(0, 3),
    });
    const daemon = join(ROOT, "packages/daemon/dist/coltsfootreachd.js");
    return start(name, [daemon, "side", "--settings", file]);
  });
  const backends = start("backends", [
    "--import=tsx",
    join(ROOT, "packages/standin/src/backend/backend_main.ts"),
    `--count=${SIDES}`,
    `--sides=${ports.map((port) => `http://127.0.0.1:${port}`).join(",")}`,
    `--classes=${CLASS}`,
  ]);
  await backends.firstLine();
  return sides;
}

async function watchSides(
  sides: readonly Child[],
  entries: number,
  callsFile: string,
): Promise<Rest> {
  const read = () => sides.map((side) => readUsage(side.pid()!));
  const callsBefore = Number(readFileSync(callsFile, "utf8"));
  const before = read();
  const startedAtMs = performance.now();
  await pause(WATCH_MS);
  const seconds = (performance.now() - startedAtMs) / MS_PER_SECOND;
  const after = read();
  const calls = Number(readFileSync(callsFile, "utf8")) - callsBefore;
  const cpu = after.map((usage, at) => usage.cpuMs - before[at]!.cpuMs);
  const bytes = after.map((usage, at) =>
    usage.movedBytes - before[at]!.movedBytes
  );
  return {
    entries,
    cpuMsPerSecond: median(cpu) / seconds,
    residentBytes: median(after.map((usage) => usage.residentBytes)),
    bytesPerSecond: median(bytes) / seconds,
    storeCallsPerSecond: calls / seconds,
  };
}

export async function measureSideControl(): Promise<readonly Series[]> {
  const rests: Rest[] = [];
  for (const entries of ENTRIES) rests.push(await measureRest(entries));

  function series(
    name: string,
    y: string,
    value: (rest: Rest) => number,
  ): Series {
    const points: Point[] = rests.map((rest) => ({
      x: rest.entries,
      y: value(rest),
    }));
    return createSeries({ name, y, x: "entries", subject: "daemon", points });
  }

  return [
    series(
      "side.rest.cpu",
      "processor time of an idle side, ms a second",
      (rest) => rest.cpuMsPerSecond,
    ),
    series(
      "side.rest.memory",
      "resident memory of an idle side, bytes",
      (rest) => rest.residentBytes,
    ),
    series(
      "side.rest.bytes",
      "bytes of an idle side a second",
      (rest) => rest.bytesPerSecond,
    ),
    series(
      "store.calls.entries",
      "store calls a second of all entries",
      (rest) => rest.storeCallsPerSecond,
    ),
  ];
}
