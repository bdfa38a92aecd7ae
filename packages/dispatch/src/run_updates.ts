/** Applies what sides report about runs to the tasks of live jobs. */
import { keyOfTask, type RunRef, type RunUpdate } from "@coltsfootreach/run";
import type { DispatcherState } from "./dispatcher_state.ts";
import type { DispatchDecision } from "./effect.ts";
import type { JobEndings } from "./job_endings.ts";
import {
  type LiveJob,
  type LiveTask,
  type TaskWithJob,
  unblockTasks,
} from "./live_job.ts";

export interface RunUpdates {
  /** Returns the task if this is its latest run. */
  findTask(ref: RunRef): TaskWithJob | undefined;
  handleRunUpdate(update: RunUpdate, now: number): void;
}

export function createRunUpdates(
  state: DispatcherState,
  { complete, fail, stopRun, removeIfEnded }: JobEndings,
): RunUpdates {
  const { counts, liveByJobId, workers } = state;

  function findTask({ task: ref, run }: RunRef): TaskWithJob | undefined {
    const live = liveByJobId.get(ref.job);
    const task = live?.tasks.find((candidate) =>
      candidate.ref.step === ref.step && candidate.ref.index === ref.index
    );
    if (live === undefined || task?.run !== run) return undefined;
    return { live, task };
  }

  function handleRunUpdate(update: RunUpdate, now: number): void {
    const found = findTask(update.ref);
    if (found === undefined) return;
    const { live, task } = found;
    if (task.state !== "placed" && task.state !== "unconfirmed") return;
    if (update.kind === "stalled") {
      task.avoidedServers.add(task.server);
      logTask("run stalled; moving task to another server", task);
      stopRun(task);
      return;
    }
    workers.get(task.session ?? -1)?.runs.delete(keyOfTask(task.ref));
    task.session = undefined;
    task.isStopping = false;
    switch (update.kind) {
      case "refused":
        counts.offersRefused += 1;
        task.run = Math.max(task.run, update.highestRun);
        if (update.reason === "suspect") task.avoidedServers.add(task.server);
        requeue(live, task);
        return;
      case "lost":
        counts.runsLost += 1;
        logTask("run lost", task, {
          reason: update.reason,
          figures: { placedMs: Math.round(now - task.placedAt) },
        });
        requeue(live, task);
        return;
      case "ended":
        handleRunEnd(live, task, update.end, now);
    }
  }

  function handleRunEnd(
    live: LiveJob,
    task: LiveTask,
    end: Extract<RunUpdate, { kind: "ended" }>["end"],
    now: number,
  ): void {
    if (end === "done") {
      finishTask(live, task, now);
      return;
    }
    if (end !== "failed") {
      requeue(live, task);
      return;
    }
    counts.runsFailed += 1;
    task.failures += 1;
    task.avoidedServers.add(task.server);
    logTask("run failed", task, {
      reason: `failed attempts: ${task.failures} of ${live.queue.attempts}`,
    });
    requeue(live, task);
    const isExhausted = task.failures >= live.queue.attempts;
    if (isExhausted && !live.isAnswered) fail(live, "attemptsUsed", now);
  }

  function finishTask(live: LiveJob, task: LiveTask, now: number): void {
    task.state = "done";
    if (live.isAnswered) {
      removeIfEnded(live);
      return;
    }
    live.left -= 1;
    if (live.left === 0) complete(live, now);
    else unblockTasks(live);
    state.isPlacementDue = true;
  }

  /** Makes the task ready to be offered again, unless its job has ended. */
  function requeue(live: LiveJob, task: LiveTask): void {
    if (live.isAnswered) {
      task.state = "done";
      removeIfEnded(live);
      return;
    }
    task.state = "waiting";
    state.isPlacementDue = true;
  }

  function logTask(
    message: string,
    task: LiveTask,
    details: Pick<DispatchDecision, "reason" | "figures"> = {},
  ): void {
    state.log({
      message,
      job: task.ref.job,
      index: task.ref.index,
      run: task.run,
      side: task.side,
      server: task.server,
      ...details,
    });
  }

  return { findTask, handleRunUpdate };
}
