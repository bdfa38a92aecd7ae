/**
 * An idle entry daemon by the number of its sides: memory, processor time,
 * bytes and store calls. The sides are stand-ins with real streams.
 */
import { readUsage } from "@coltsfootreach/fleet";
import type { Point } from "./fit.ts";
import { createSeries, type Series } from "./series.ts";
import { withFleet } from "./small_fleet.ts";
import { pause, watchFleet } from "./watched.ts";

const SIDES = [10, 500, 1000, 2000];

/** Time until the memory of connecting has been collected. */
const CALM_MS = 3000;

const WATCH_MS = 5000;

const MS_PER_SECOND = 1000;

interface Idle {
  readonly sides: number;
  readonly residentBytes: number;
  readonly cpuMsPerSecond: number;
  readonly bytesPerSecond: number;
  readonly storeCallsPerSecond: number;
}

async function measureIdle(sides: number): Promise<Idle> {
  const shape = { entries: 1, sides, sideProcesses: 4 };
  return await withFleet(shape, async (fleet) => {
    await pause(CALM_MS);
    const used = await watchFleet(fleet, () => pause(WATCH_MS));
    const seconds = used.elapsedMs / MS_PER_SECOND;
    const pid = fleet.entries[0]!.child.pid()!;
    return {
      sides,
      residentBytes: readUsage(pid).residentBytes,
      cpuMsPerSecond: used.cpuMs / seconds,
      bytesPerSecond: used.movedBytes / seconds,
      storeCallsPerSecond: used.storeCalls / seconds,
    };
  });
}

export async function measureEntrySides(): Promise<readonly Series[]> {
  const idles: Idle[] = [];
  for (const sides of SIDES) idles.push(await measureIdle(sides));

  function series(
    name: string,
    y: string,
    value: (idle: Idle) => number,
  ): Series {
    const points: Point[] = idles.map((idle) => ({
      x: idle.sides,
      y: value(idle),
    }));
    return createSeries({ name, y, x: "sides", subject: "daemon", points });
  }

  return [
    series(
      "entry.memory.sides",
      "resident memory of an idle entry, bytes",
      (idle) => idle.residentBytes,
    ),
    series(
      "entry.rest.cpu",
      "processor time of an idle entry, ms a second",
      (idle) => idle.cpuMsPerSecond,
    ),
    series(
      "entry.rest.bytes",
      "bytes of an idle entry a second",
      (idle) => idle.bytesPerSecond,
    ),
    series(
      "store.calls.sides",
      "store calls a second of one entry",
      (idle) => idle.storeCallsPerSecond,
    ),
  ];
}
