/** Entries without sides of their own; stand-in sides are attached to them. */
import {
  type Child,
  type Fleet,
  startFleet,
  startSideStandins,
  stopChildren,
} from "@coltsfootreach/fleet";
import { CLASS } from "./made_up.ts";
import { pause } from "./watched.ts";

/** Time in which the sides register and the entries settle. */
const SETTLE_MS = 2500;

export interface SmallFleetOptions {
  readonly entries: number;
  readonly sides: number;
  readonly sideProcesses: number;
}

/** Runs a fleet for the time of one measurement. */
export async function withFleet<T>(
  options: SmallFleetOptions,
  run: (fleet: Fleet) => Promise<T>,
): Promise<T> {
  const fleet = await startFleet({
    entries: options.entries,
    sides: 0,
    slots: 64,
    connections: 64,
    speeds: [1],
    classes: [CLASS],
    dataCentres: ["kiln-yard"],
    backendProcesses: 1,
  });
  let sides: readonly Child[] = [];
  try {
    sides = await startSideStandins({
      folder: `${fleet.folder}/logs`,
      entries: fleet.entries.map(({ link }) => link),
      count: options.sides,
      processes: options.sideProcesses,
      slots: 64,
      classes: [CLASS],
    });
    await pause(SETTLE_MS);
    return await run(fleet);
  } finally {
    await stopChildren(sides);
    await fleet.stop();
  }
}
