/**
 * Bounded worlds to explore: how many processes and jobs there are, what has
 * happened before, and what may happen next.
 */
import {
  createHarness,
  type Harness,
  type HarnessOptions,
  type Limits,
  type Mutation,
} from "@coltsfootreach/scenario";
import { type Action, isFault, isPossible, perform } from "./action.ts";

export interface World {
  readonly name: string;
  readonly options: HarnessOptions;
  readonly jobs: readonly ModelledJob[];
  /** Done before the exploration begins. */
  readonly before: readonly Action[];
  readonly actions: readonly Action[];
  /** Most actions in a trace. */
  readonly depth: number;
  /** Most faults in a trace. */
  readonly faults: number;
}

export interface ModelledJob {
  readonly name: string;
  readonly tasks: number;
  readonly owner: string;
}

/** Shorter times than a daemon's, so that a trace spans few events. */
export const MODEL_LIMITS: Partial<Limits> = {
  freshnessMs: 2000,
  heartbeatMs: 500,
  sideLostMs: 2000,
  doubtMs: 3000,
  leaseMs: 2000,
  storeTimeoutMs: 250,
  tickMs: 125,
  readIntervalMs: 1000,
  overdueMs: 5000,
  orphanMs: 3000,
  skewMs: 500,
};

/** Time after the last action in which every request must be answered. */
const REST_MS = 14_000;

/** Time between the end of all faults and the last resubmissions. */
const LULL_MS = 4000;

export interface Run {
  readonly harness: Harness;
  /** Actions that may follow. */
  readonly next: readonly Action[];
}

/** Replays a trace from the start. */
export function replay(
  world: World,
  trace: readonly Action[],
  mutation?: Mutation,
): Run {
  const harness = createHarness({
    ...world.options,
    isRecorded: true,
    limits: { ...MODEL_LIMITS, ...world.options.limits },
    mutation,
  });
  for (const { name, tasks, owner } of world.jobs) {
    harness.makeJob(name, { tasks, owner, deadlineMs: 4000 });
  }
  for (const action of world.before) perform(harness, action);
  for (const action of trace) perform(harness, action);
  return { harness, next: nextActions(world, trace, harness) };
}

function nextActions(
  world: World,
  trace: readonly Action[],
  harness: Harness,
): readonly Action[] {
  if (trace.length >= world.depth) return [];
  const faultsLeft = world.faults - trace.filter(isFault).length;
  return world.actions.filter((action) =>
    (faultsLeft > 0 || !isFault(action)) && isPossible(harness, action) &&
    !isRepeated(trace, action)
  );
}

/** A submission to the same entry again tells nothing new. */
function isRepeated(trace: readonly Action[], action: Action): boolean {
  if (action.type !== "submit") return false;
  return trace.some((earlier) =>
    earlier.type === "submit" && earlier.job === action.job &&
    earlier.at === action.at
  );
}

/**
 * Ends all faults, has every job resubmitted to every entry, and lets time
 * pass, so that what is wrong in a state comes to light.
 */
export function rest(world: World, harness: Harness): void {
  harness.heal();
  harness.advance(LULL_MS);
  const asked = new Set(harness.calls().map((call) => call.id));
  for (const { name } of world.jobs) {
    const job = harness.job(name);
    if (!asked.has(`${job.tenant}\n${job.key}`)) continue;
    for (const entry of harness.entryNames()) harness.submit(name, entry);
  }
  harness.settle(REST_MS);
}
