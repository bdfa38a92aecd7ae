/** Runs that may use capacity on a backend server, in any state. */
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
 * - `starting`: the start request is in flight.
 * - `running`: the server has confirmed the start.
 * - `stopping`: must end; counts as used capacity until the server shows that it
 *   has ended.
 */
export type RunState = "starting" | "running" | "stopping";

export interface Run {
  readonly ref: RunRef;
  /** Undefined if the run was discovered on the server or its stream broke. */
  owner: OwnerId | undefined;
  /** Undefined for runs that were discovered on the server. */
  resources: Resources | undefined;
  estimateMs: number;
  /** Time at which the run is stopped if no entry has claimed it. */
  claimableUntil: number;
  /**
   * Time by which the run must be over, also if it can't be stopped; infinite
   * while its entry wants it.
   */
  endBy: number;
  state: RunState;
  /** The server has confirmed that it will not start the run again. */
  isStopConfirmed: boolean;
  /** Time of the last start or stop request for the run. */
  lastRequestAt: number;
  /** Replies to list requests with higher numbers must include the run. */
  visibleAfterList: number;
  startedAt: number;
  percent: number;
  lastProgressAt: number;
  isStalled: boolean;
  /** When the server last confirmed or listed the run; else its creation. */
  lastSeenAt: number;
}

export interface Runs {
  add(run: Run): void;
  remove(run: Run): void;
  find(ref: RunRef): Run | undefined;
  /** Returns the run of the task, regardless of its run number. */
  findByTask(task: TaskRef): Run | undefined;
  all(): readonly Run[];
  count(): number;
  usedResources(): Resources;
  /** True while the resources of some run are unknown. */
  hasUnknownResources(): boolean;
  /** Highest known run number of the task; 0 for none. */
  highestRunOf(task: TaskRef): number;
}

/** Maximum number of tasks whose highest run number is kept. */
const MAX_REMEMBERED_TASKS = 5000;

export function createRuns(): Runs {
  const runs = new Map<string, Run>();
  const highestRuns = new Map<string, number>();

  function recordHighestRun(ref: RunRef): void {
    const key = keyOfTask(ref.task);
    const highest = Math.max(ref.run, highestRuns.get(key) ?? 0);
    // Deleting first keeps the map ordered by last use.
    highestRuns.delete(key);
    highestRuns.set(key, highest);
    if (highestRuns.size <= MAX_REMEMBERED_TASKS) return;
    highestRuns.delete(highestRuns.keys().next().value!);
  }

  return {
    add(run) {
      runs.set(keyOfTask(run.ref.task), run);
      recordHighestRun(run.ref);
    },
    remove(run) {
      const key = keyOfTask(run.ref.task);
      if (runs.get(key) === run) runs.delete(key);
    },
    find(ref) {
      const run = runs.get(keyOfTask(ref.task));
      return run?.ref.run === ref.run ? run : undefined;
    },
    findByTask: (task) => runs.get(keyOfTask(task)),
    all: () => [...runs.values()],
    count: () => runs.size,
    usedResources() {
      let sum = NO_RESOURCES;
      for (const run of runs.values()) {
        if (run.resources !== undefined) sum = addResources(sum, run.resources);
      }
      return sum;
    },
    hasUnknownResources() {
      for (const run of runs.values()) {
        if (run.resources === undefined) return true;
      }
      return false;
    },
    highestRunOf: (task) => highestRuns.get(keyOfTask(task)) ?? 0,
  };
}
