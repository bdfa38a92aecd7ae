/** Loads and faults under which policies are compared. */
import type { SimulatedClock } from "./clock.ts";
import type { Fleet } from "./fleet.ts";
import { type LoadOptions, MIXED_CLASSES } from "./load.ts";

export type LoadScenario = Omit<LoadOptions, "seed" | "seconds">;

/** Time at which a fault begins, after the fleet has settled. */
const FAULT_AT_MS = 5000;

const FAULT_MS = 6000;

const DOWN_MS = 1400;

/** All entries, sides and backend servers lose power and start again. */
function loseAll(fleet: Fleet, clock: SimulatedClock): void {
  clock.after(FAULT_AT_MS, () => {
    for (const entry of fleet.entries) entry.kill(DOWN_MS);
    for (const side of fleet.sides) {
      side.crashServer(DOWN_MS);
      side.kill(DOWN_MS);
    }
  });
}

/** Applies a fault to some servers, and ends it later. */
function disturbServers(
  count: number,
  begin: (side: Fleet["sides"][number]) => void,
  end: (side: Fleet["sides"][number]) => void,
): NonNullable<LoadScenario["script"]> {
  return (fleet, clock) => {
    const sides = fleet.sides.slice(0, count);
    clock.after(FAULT_AT_MS, () => sides.forEach(begin));
    clock.after(FAULT_AT_MS + FAULT_MS, () => sides.forEach(end));
  };
}

const slowServers = disturbServers(
  2,
  (side) => side.server().setSlowness(6.5),
  (side) => side.server().setSlowness(1),
);

const failingServer = disturbServers(
  1,
  (side) => side.server().setFailing(true),
  (side) => side.server().setFailing(false),
);

const hangingServer = disturbServers(
  1,
  (side) => side.server().setHanging(true),
  (side) => side.server().setHanging(false),
);

/** Loads are relative to the cores of all servers. */
export const LOAD_SCENARIOS: Readonly<Record<string, LoadScenario>> = {
  moderate: { load: 0.7 },
  heavy: { load: 0.9 },
  overload: { load: 1.2 },
  burst: {
    load: 0.75,
    rateFactor: (atMs) => atMs > 5000 && atMs < 9000 ? 1.75 : 1,
  },
  loss: { load: 0.65, script: loseAll },
  heavyLoss: { load: 0.8, script: loseAll },
  slowServers: { load: 0.65, script: slowServers },
  failingServer: { load: 0.65, script: failingServer },
  hangingServer: { load: 0.65, script: hangingServer },
  poison: {
    load: 0.65,
    classes: MIXED_CLASSES.map((callers) => ({
      ...callers,
      poisonShare: 0.05,
    })),
  },
  unevenEntries: { load: 0.75, entryWeights: [70, 15, 15] },
};
