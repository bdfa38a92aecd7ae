/**
 * Ends jobs: answers their callers, stops the runs that are left, and removes a
 * job once none of its runs can be active any more.
 */
import type { Answer, RefusalReason } from "./answer.ts";
import type { DispatcherState } from "./dispatcher_state.ts";
import { type LiveJob, type LiveTask, requestStop } from "./live_job.ts";

export interface JobEndings {
  complete(live: LiveJob, now: number): void;
  fail(
    live: LiveJob,
    reason: Extract<Answer, { kind: "failed" }>["reason"],
    now: number,
  ): void;
  /** The caller's timeout has expired, and the job may have run. */
  timeOut(live: LiveJob, now: number): void;
  /** Only for jobs of which no task was offered. */
  refuse(
    live: LiveJob,
    reason: RefusalReason,
    retryAfterMs: number,
    now: number,
  ): void;
  /** The caller has disconnected or has submitted the job again. */
  abandonJob(live: LiveJob, now: number): void;
  stopRun(task: LiveTask): void;
  /** Removes an answered job of which no run can be active. */
  removeIfEnded(live: LiveJob): void;
}

export function createJobEndings(state: DispatcherState): JobEndings {
  const { counts, jobs, liveByJobId, workers } = state;

  function answer(live: LiveJob, result: Answer, now: number): void {
    if (live.isAnswered) return;
    live.isAnswered = true;
    state.emit({
      kind: "answer",
      submission: live.submission,
      answer: result,
    });
    state.log({
      message: "job answered",
      job: live.job.id,
      queue: live.queue.name,
      reason: "reason" in result
        ? `${result.kind}: ${result.reason}`
        : result.kind,
      figures: {
        ms: Math.round(now - live.arrivedAt),
        waitMs: Math.round((live.firstOfferedAt ?? now) - live.arrivedAt),
        lateMs: Math.round(now - live.dueAt),
        runs: countRuns(live),
        failures: countFailures(live),
        left: live.left,
      },
    });
  }

  function complete(live: LiveJob, now: number): void {
    counts.completed += 1;
    answer(live, { kind: "completed" }, now);
    stopRuns(live);
  }

  function fail(
    live: LiveJob,
    reason: Extract<Answer, { kind: "failed" }>["reason"],
    now: number,
  ): void {
    counts.failed += 1;
    answer(live, { kind: "failed", reason }, now);
    stopRuns(live);
  }

  function timeOut(live: LiveJob, now: number): void {
    counts.timedOut += 1;
    answer(live, { kind: "timedOut" }, now);
    stopRuns(live);
  }

  function refuse(
    live: LiveJob,
    reason: RefusalReason,
    retryAfterMs: number,
    now: number,
  ): void {
    counts.refused += 1;
    answer(live, { kind: "refused", reason, retryAfterMs }, now);
    stopRuns(live);
  }

  function abandonJob(live: LiveJob, now: number): void {
    counts.abandoned += 1;
    live.isAnswered = true;
    state.log({
      message: "caller abandoned job",
      job: live.job.id,
      queue: live.queue.name,
      figures: { ms: Math.round(now - live.arrivedAt), left: live.left },
    });
    stopRuns(live);
  }

  /** Stops all runs of the job; removes it if none is left. */
  function stopRuns(live: LiveJob): void {
    for (const task of live.tasks) {
      if (task.state === "placed") stopRun(task);
      else if (task.state !== "unconfirmed") task.state = "done";
    }
    removeIfEnded(live);
  }

  function stopRun(task: LiveTask): void {
    if (task.session !== undefined) {
      requestStop(task, workers.get(task.session));
    }
  }

  function removeIfEnded(live: LiveJob): void {
    if (!live.isAnswered) return;
    const hasEnded = live.tasks.every((task) =>
      task.state !== "placed" && task.state !== "unconfirmed"
    );
    if (!hasEnded) return;
    jobs.delete(live.submission);
    if (liveByJobId.get(live.job.id) !== live) return;
    liveByJobId.delete(live.job.id);
    state.isPlacementDue = true;
  }

  return {
    complete,
    fail,
    timeOut,
    refuse,
    abandonJob,
    stopRun,
    removeIfEnded,
  };
}

/** Offers of all tasks, including those that were refused. */
function countRuns(live: LiveJob): number {
  return live.tasks.reduce((sum, task) => sum + task.run, 0);
}

function countFailures(live: LiveJob): number {
  return live.tasks.reduce((sum, task) => sum + task.failures, 0);
}
