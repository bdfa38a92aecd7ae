/** The runs that may hold room on a backend server, whatever their state. */
import {
  addResources,
  keyOfTask,
  NO_RESOURCES,
  type Resources,
  type RunRef,
  type TaskRef,
} from "@coltsfootreach/run";
import type { OwnerId } from "./effect.ts";

/**
 * - `starting`: the order is on its way.
 * - `running`: the server has confirmed it.
 * - `stopping`: must end; holds its room until the server shows that it has.
 */
export type RunState = "starting" | "running" | "stopping";

export interface Run {
  readonly ref: RunRef;
  /** Nobody owns a run that was found on the server or whose stream broke. */
  owner: OwnerId | undefined;
  /** Unknown for runs that were found on the server. */
  resources: Resources | undefined;
  estimateMs: number;
  /** When a run that nobody claims is stopped. */
  claimableUntil: number;
  state: RunState;
  /** The server will not start it any more. */
  isBarred: boolean;
  /** When the last order for it was sent. */
  orderedAt: number;
  /** Lists sent after the one with this number must show it. */
  shownAfter: number;
  startedAt: number;
  percent: number;
  progressAt: number;
  isStalled: boolean;
}

export interface Runs {
  add(run: Run): void;
  remove(run: Run): void;
  find(ref: RunRef): Run | undefined;
  /** The run of this task, whatever its number. */
  ofTask(task: TaskRef): Run | undefined;
  all(): readonly Run[];
  count(): number;
  used(): Resources;
  /** True while something runs whose size nobody knows. */
  hasUnsized(): boolean;
  /** Highest run of a task that was seen here; 0 for none. */
  highest(task: TaskRef): number;
}

/** Tasks whose highest run is remembered after their end. */
const MAX_REMEMBERED = 5000;

export function createRuns(): Runs {
  const runs = new Map<string, Run>();
  const highestRuns = new Map<string, number>();

  function remember(ref: RunRef): void {
    const key = keyOfTask(ref.task);
    const highest = Math.max(ref.run, highestRuns.get(key) ?? 0);
    // Deleting first keeps the map in order of last use.
    highestRuns.delete(key);
    highestRuns.set(key, highest);
    if (highestRuns.size <= MAX_REMEMBERED) return;
    highestRuns.delete(highestRuns.keys().next().value!);
  }

  return {
    add(run) {
      runs.set(keyOfTask(run.ref.task), run);
      remember(run.ref);
    },
    remove(run) {
      const key = keyOfTask(run.ref.task);
      if (runs.get(key) === run) runs.delete(key);
    },
    find(ref) {
      const run = runs.get(keyOfTask(ref.task));
      return run?.ref.run === ref.run ? run : undefined;
    },
    ofTask: (task) => runs.get(keyOfTask(task)),
    all: () => [...runs.values()],
    count: () => runs.size,
    used() {
      let sum = NO_RESOURCES;
      for (const run of runs.values()) {
        if (run.resources !== undefined) sum = addResources(sum, run.resources);
      }
      return sum;
    },
    hasUnsized() {
      for (const run of runs.values()) {
        if (run.resources === undefined) return true;
      }
      return false;
    },
    highest: (task) => highestRuns.get(keyOfTask(task)) ?? 0,
  };
}
