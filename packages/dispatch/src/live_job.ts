/** State of an accepted job and its tasks. */
import type { Job, Queue, RunRef, Step, TaskRef } from "@coltsfootreach/run";
import type { SessionId, SubmissionId } from "./effect.ts";

/**
 * - `blocked`: depends on unfinished steps.
 * - `waiting`: ready to be offered.
 * - `placed`: offered or running.
 * - `unconfirmed`: may still be running; the stream to its side broke.
 * - `done`: needs no further runs.
 */
export type TaskState =
  | "blocked"
  | "waiting"
  | "placed"
  | "unconfirmed"
  | "done";

export interface LiveTask {
  readonly ref: TaskRef;
  readonly step: Step;
  state: TaskState;
  /** Highest run number used. */
  run: number;
  failures: number;
  /** Servers on which a run failed, stalled or was refused as suspect. */
  readonly avoidedServers: Set<string>;
  session: SessionId | undefined;
  /** Side and server of the latest run. */
  side: string;
  server: string;
  placedAt: number;
  /** Whether the side was asked to stop the current run. */
  isStopping: boolean;
}

export interface LiveJob {
  readonly submission: SubmissionId;
  readonly job: Job;
  readonly queue: Queue;
  readonly arrivedAt: number;
  /** Deadline from the queue's latency objective. */
  readonly dueAt: number;
  /** Time from which an answer is of little use to the caller. */
  readonly staleAt: number;
  /** When the caller's timeout expires, less the delivery allowance. */
  readonly timeoutAt: number;
  /** Longest path from the start of each step to the end of the job. */
  readonly remainingPathMs: readonly number[];
  readonly tasks: readonly LiveTask[];
  left: number;
  /** Whether any task was offered to a side. */
  mayHaveRun: boolean;
  /** When the first task was offered. */
  firstOfferedAt: number | undefined;
  isAnswered: boolean;
}

export interface LiveJobOptions {
  readonly submission: SubmissionId;
  readonly arrivedAt: number;
  readonly dueAt: number;
  readonly staleAt: number;
  readonly timeoutAt: number;
  readonly remainingPathMs: readonly number[];
}

export function createLiveJob(
  job: Job,
  queue: Queue,
  options: LiveJobOptions,
): LiveJob {
  const tasks = job.steps.flatMap((step, stepIndex) =>
    Array.from({ length: step.count }, (_, index) => {
      const task: TaskRef = {
        job: job.id,
        occurrence: 0,
        step: stepIndex,
        index,
      };
      return createLiveTask(task, step);
    })
  );
  return {
    ...options,
    job,
    queue,
    tasks,
    left: tasks.length,
    mayHaveRun: false,
    firstOfferedAt: undefined,
    isAnswered: false,
  };
}

function createLiveTask(ref: TaskRef, step: Step): LiveTask {
  return {
    ref,
    step,
    state: step.after.length === 0 ? "waiting" : "blocked",
    run: 0,
    failures: 0,
    avoidedServers: new Set(),
    session: undefined,
    side: "",
    server: "",
    placedAt: 0,
    isStopping: false,
  };
}

/** Returns the tasks that are ready to be offered. */
export function waitingTasks(live: LiveJob): readonly LiveTask[] {
  return live.tasks.filter((task) => task.state === "waiting");
}

/** Sets blocked tasks to `waiting` if the steps they depend on are done. */
export function unblockTasks(live: LiveJob): void {
  const unfinished = new Set<number>();
  for (const task of live.tasks) {
    if (task.state !== "done") unfinished.add(task.ref.step);
  }
  for (const task of live.tasks) {
    if (task.state !== "blocked") continue;
    const isUnblocked = task.step.after.every((step) => !unfinished.has(step));
    if (isUnblocked) task.state = "waiting";
  }
}

export function runRefOf(task: LiveTask): RunRef {
  return { task: task.ref, run: task.run };
}

/** Counts the tasks of a step that are or may be running on a server. */
export function countOnServer(
  live: LiveJob,
  step: number,
  server: string,
): number {
  let count = 0;
  for (const task of live.tasks) {
    const isOnServer = task.server === server &&
      (task.state === "placed" || task.state === "unconfirmed");
    if (isOnServer && task.ref.step === step) count += 1;
  }
  return count;
}

/** A task together with its job. */
export interface TaskWithJob {
  readonly live: LiveJob;
  readonly task: LiveTask;
}

/** Asks the side to stop the task's current run, unless already requested. */
export function requestStop(
  task: LiveTask,
  worker: { readonly stops: RunRef[] } | undefined,
): void {
  if (task.isStopping || worker === undefined) return;
  task.isStopping = true;
  worker.stops.push(runRefOf(task));
}
