/**
 * Draws the faults of a run from its seed. Several may fall together, and the
 * same one may come twice.
 */
import type { Random } from "@coltsfootreach/place";
import { createRandom, exponential } from "@coltsfootreach/trial";
import type { Act, PlannedAct, Victim } from "./act.ts";
import type { StoreFault } from "./fault.ts";

export interface ScheduleOptions {
  readonly seed: number;
  /** Length of the load in milliseconds. */
  readonly lengthMs: number;
  readonly entries: number;
  readonly sides: number;
}

/** Load without faults at the start. */
const QUIET_MS = 2000;

const MEAN_INTERVAL_MS = 1000;

/** Chance that another fault comes at the same moment. */
const PAIR_SHARE = 0.25;

/** Chance that a fault comes again. */
const AGAIN_SHARE = 0.15;

const LATEST_AGAIN_MS = 1500;

const LONGEST_ABSENCE_MS = 4000;

/** Longer than the lease of an entry and the freshness of a side's table. */
const LONGEST_PAUSE_MS = 8000;

const LONGEST_CUT_MS = 6000;

const LONGEST_OUTAGE_MS = 8000;

const LONGEST_BACKEND_FAULT_MS = 5000;

const SHORTEST_MS = 200;

/** Kinds of faults with the weight of each. */
const WEIGHTS = [
  ["killEntry", 3],
  ["pauseEntry", 3],
  ["replaceEntry", 2],
  ["killSide", 3],
  ["pauseSide", 2],
  ["replaceSide", 2],
  ["killWorker", 1],
  ["cut", 2],
  ["silenceLinks", 3],
  ["dropLinks", 1],
  ["silenceBackend", 2],
  ["backend", 2],
  ["store", 4],
] as const;

type Kind = (typeof WEIGHTS)[number][0];

export function drawSchedule(options: ScheduleOptions): PlannedAct[] {
  const random = createRandom(options.seed);
  const acts: PlannedAct[] = [];
  let atMs = QUIET_MS;
  while (atMs < options.lengthMs) {
    const act = drawAct(random, options);
    acts.push({ atMs, act });
    if (random() < AGAIN_SHARE) {
      acts.push({ atMs: atMs + random() * LATEST_AGAIN_MS, act });
    }
    if (random() >= PAIR_SHARE) atMs += exponential(random, MEAN_INTERVAL_MS);
  }
  return acts
    .filter((planned) => planned.atMs < options.lengthMs)
    .map((planned) => ({ ...planned, atMs: Math.round(planned.atMs) }))
    .sort((left, right) => left.atMs - right.atMs);
}

function drawKind(random: Random): Kind {
  const total = WEIGHTS.reduce((sum, [, weight]) => sum + weight, 0);
  let left = random() * total;
  for (const [kind, weight] of WEIGHTS) {
    left -= weight;
    if (left < 0) return kind;
  }
  return WEIGHTS[0][0];
}

function drawAct(random: Random, options: ScheduleOptions): Act {
  const kind = drawKind(random);
  const entry = wholeBelow(random, options.entries);
  const side = wholeBelow(random, options.sides);
  const toEntry: Victim = { role: "entry", index: entry };
  const toSide: Victim = { role: "side", index: side };
  switch (kind) {
    case "killEntry":
      return kill(random, toEntry);
    case "killSide":
      return kill(random, toSide);
    case "pauseEntry":
      return pause(random, toEntry);
    case "pauseSide":
      return pause(random, toSide);
    case "replaceEntry":
      return { kind: "replace", victim: toEntry };
    case "replaceSide":
      return { kind: "replace", victim: toSide };
    case "killWorker":
      return {
        kind: "killWorker",
        side,
        backAfterMs: duration(random, LONGEST_ABSENCE_MS),
      };
    case "cut":
      return {
        kind: "cut",
        entry,
        how: pick(random, ["refuse", "silent"]),
        forMs: duration(random, LONGEST_CUT_MS),
      };
    case "silenceLinks":
      return {
        kind: "silenceLinks",
        entry,
        direction: pick(random, ["both", "toEntry", "fromEntry"]),
        share: pick(random, [0.3, 1]),
      };
    case "dropLinks":
      return { kind: "dropLinks", entry };
    case "silenceBackend":
      return { kind: "silenceBackend", side };
    case "backend":
      return {
        kind: "backend",
        side,
        fault: pick(random, [
          { speed: 0.1 },
          { failEverything: true },
          { announcing: false },
        ]),
        forMs: duration(random, LONGEST_BACKEND_FAULT_MS),
      };
    case "store":
      return {
        kind: "store",
        fault: drawStoreFault(random),
        forMs: duration(random, LONGEST_OUTAGE_MS),
      };
  }
}

function drawStoreFault(random: Random): StoreFault {
  return pick<StoreFault>(random, [
    { outage: "refusing" },
    { outage: "unavailable" },
    { slowMs: 300 },
    { slowMs: 1200 },
    { lostAnswers: 3 },
    { silentWatches: true },
    { lapseLeases: true },
    { compact: true },
  ]);
}

function kill(random: Random, victim: Victim): Act {
  const backAfterMs = duration(random, LONGEST_ABSENCE_MS);
  return { kind: "kill", victim, backAfterMs };
}

function pause(random: Random, victim: Victim): Act {
  return { kind: "pause", victim, forMs: duration(random, LONGEST_PAUSE_MS) };
}

function duration(random: Random, longestMs: number): number {
  return Math.round(SHORTEST_MS + random() * (longestMs - SHORTEST_MS));
}

function wholeBelow(random: Random, bound: number): number {
  return Math.floor(random() * bound);
}

function pick<T>(random: Random, choices: readonly T[]): T {
  return choices[wholeBelow(random, choices.length)]!;
}
