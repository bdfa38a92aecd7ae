/** Plans with one chosen kind of fault, to look at it alone. */
import type { PlannedAct, Victim } from "./act.ts";
import { drawSchedule, type ScheduleOptions } from "./schedule.ts";

export const PLANS = ["random", "rolling", "crash", "silent"] as const;

export type Plan = (typeof PLANS)[number];

const QUIET_MS = 2000;

/** From one crash or silence to the next. */
const INTERVAL_MS = 8000;

const ABSENCE_MS = 2000;

export function planActs(
  plan: Plan,
  options: ScheduleOptions,
): PlannedAct[] {
  switch (plan) {
    case "random":
      return drawSchedule(options);
    case "rolling":
      return rolling(options);
    case "crash":
      return everyInterval(options, (entry) => ({
        kind: "kill",
        victim: { role: "entry", index: entry },
        backAfterMs: ABSENCE_MS,
      }));
    case "silent":
      return everyInterval(options, (entry) => ({
        kind: "silenceLinks",
        entry,
        direction: "both",
        share: 1,
      }));
  }
}

/** Replaces every entry and every side once, evenly over the run. */
function rolling(options: ScheduleOptions): PlannedAct[] {
  const victims: Victim[] = [
    ...indices(options.entries, "entry"),
    ...indices(options.sides, "side"),
  ];
  const stepMs = (options.lengthMs - QUIET_MS) / (victims.length + 1);
  return victims.map((victim, at) => ({
    atMs: Math.round(QUIET_MS + at * stepMs),
    act: { kind: "replace", victim },
  }));
}

function indices(count: number, role: Victim["role"]): Victim[] {
  return Array.from({ length: count }, (_, index) => ({ role, index }));
}

function everyInterval(
  options: ScheduleOptions,
  actOn: (entry: number) => PlannedAct["act"],
): PlannedAct[] {
  const acts: PlannedAct[] = [];
  for (let atMs = QUIET_MS; atMs < options.lengthMs; atMs += INTERVAL_MS) {
    acts.push({ atMs, act: actOn(acts.length % options.entries) });
  }
  return acts;
}
