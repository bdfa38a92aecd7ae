/** A job that has been taken and not been answered, and its tasks. */
import type { Job, Queue, RunRef, Step, TaskRef } from "@coltsfootreach/run";
import type { SessionId, SubmissionId } from "./effect.ts";

/**
 * - `blocked`: earlier steps are not done.
 * - `waiting`: may be offered.
 * - `placed`: offered or running.
 * - `unsure`: the stream to its side broke; may still run.
 * - `done`
 */
export type TaskState = "blocked" | "waiting" | "placed" | "unsure" | "done";

export interface LiveTask {
  readonly ref: TaskRef;
  readonly step: Step;
  state: TaskState;
  /** Highest run number used. */
  run: number;
  failures: number;
  /** Servers where a run of it failed or stood still. */
  readonly avoid: Set<string>;
  session: SessionId | undefined;
  server: string;
  placedAt: number;
  /** Its stop has been asked for. */
  isStopping: boolean;
}

export interface LiveJob {
  readonly submission: SubmissionId;
  readonly job: Job;
  readonly queue: Queue;
  readonly arrivedAt: number;
  /** When the answer is late. */
  readonly dueAt: number;
  /** When the answer is so late that it is hardly of use. */
  readonly staleAt: number;
  /** When the caller stops waiting. */
  readonly giveUpAt: number;
  /** Declared run time from each step's start to the job's end. */
  readonly chainMs: readonly number[];
  readonly tasks: readonly LiveTask[];
  left: number;
  /** An offer of a task has been sent to a side. */
  mayHaveRun: boolean;
  isAnswered: boolean;
}

export interface LiveJobOptions {
  readonly submission: SubmissionId;
  readonly arrivedAt: number;
  readonly dueAt: number;
  readonly staleAt: number;
  readonly giveUpAt: number;
  readonly chainMs: readonly number[];
}

export function createLiveJob(
  job: Job,
  queue: Queue,
  options: LiveJobOptions,
): LiveJob {
  const tasks = job.steps.flatMap((step, position) =>
    Array.from({ length: step.count }, (_, index) => {
      const task: TaskRef = {
        job: job.id,
        occurrence: 0,
        step: position,
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
    avoid: new Set(),
    session: undefined,
    server: "",
    placedAt: 0,
    isStopping: false,
  };
}

/** The tasks of a job that may run now and do not. */
export function waitingTasks(live: LiveJob): readonly LiveTask[] {
  return live.tasks.filter((task) => task.state === "waiting");
}

/** Lets the tasks wait whose earlier steps are done. */
export function unblock(live: LiveJob): void {
  const unfinished = new Set<number>();
  for (const task of live.tasks) {
    if (task.state !== "done") unfinished.add(task.ref.step);
  }
  for (const task of live.tasks) {
    if (task.state !== "blocked") continue;
    const isFree = task.step.after.every((step) => !unfinished.has(step));
    if (isFree) task.state = "waiting";
  }
}

export function refOf(task: LiveTask): RunRef {
  return { task: task.ref, run: task.run };
}

/** Tasks of one step that are placed on a server. */
export function countOnServer(
  live: LiveJob,
  step: number,
  server: string,
): number {
  let count = 0;
  for (const task of live.tasks) {
    const isThere = task.server === server &&
      (task.state === "placed" || task.state === "unsure");
    if (isThere && task.ref.step === step) count += 1;
  }
  return count;
}

/** A task and the job it belongs to. */
export interface FoundTask {
  readonly live: LiveJob;
  readonly task: LiveTask;
}

/** Asks the side to stop the task's run, once. */
export function askStop(
  task: LiveTask,
  worker: { readonly stops: RunRef[] } | undefined,
): void {
  if (task.isStopping || worker === undefined) return;
  task.isStopping = true;
  worker.stops.push(refOf(task));
}
