/**
 * Accepts or refuses callers' jobs, offers their tasks to sides, retries failed
 * runs and answers the callers. Only one entry holds the state of a job; the
 * sides stop its runs when that entry is lost.
 */
import type {
  Job,
  Queue,
  RunRef,
  RunUpdate,
  Timing,
  WorkFrame,
} from "@coltsfootreach/run";
import { keyOfTask } from "@coltsfootreach/run";
import type { Answer, RefusalReason } from "./answer.ts";
import type {
  DispatchDecision,
  DispatchEffect,
  SessionId,
  SubmissionId,
} from "./effect.ts";
import {
  createLiveJob,
  type LiveJob,
  type LiveTask,
  requestStop,
  type TaskWithJob,
  unblockTasks,
} from "./live_job.ts";
import {
  criticalPathMs,
  objectiveMs,
  remainingPathMs,
  STALE_FACTOR,
} from "./objective.ts";
import { latestStart, latestUsefulStart } from "./order.ts";
import { isCapable } from "./placement.ts";
import { createPlacer } from "./placer.ts";
import { LATE_RESERVE, type LateReserve } from "./reserve.ts";
import { createSideSessions } from "./sides.ts";
import { hasOpenServer, type Worker } from "./workers.ts";

/** Allowance for the delivery of the answer to the caller. */
const ANSWER_MARGIN_MS = 60;

/** Time after the start of an entry in which servers are still connecting. */
const SERVER_DISCOVERY_MS = 2500;

export interface DispatcherOptions {
  readonly entry: string;
  readonly timing: Timing;
  /** Run time factor for tasks placed outside the rack with their data. */
  readonly remoteFactor: number;
  /** Default: `LATE_RESERVE`. */
  readonly lateReserve?: LateReserve | undefined;
  /** Returns a number from 0 to 1. */
  random(): number;
}

export interface Submission {
  readonly id: SubmissionId;
  readonly job: Job;
  readonly queue: Queue;
  readonly configurationVersion: number;
  /** Estimated time that the caller waited before this submission. */
  readonly ageMs: number;
}

export interface Dispatcher {
  submit(submission: Submission, now: number): void;
  /** Stops the job of a caller that disconnected. */
  abandon(submission: SubmissionId, now: number): void;
  sessionOpened(session: SessionId, now: number): void;
  frameReceived(session: SessionId, frame: WorkFrame, now: number): void;
  sessionClosed(session: SessionId, now: number): void;
  /** Sets the addresses of all entries, which are forwarded to sides. */
  setEntries(addresses: readonly string[]): void;
  /** Refuses new jobs that are not expected to end before this time. */
  setStopDeadline(time: number): void;
  tick(now: number): void;
  /** Places waiting tasks and returns all pending effects. */
  takeEffects(now: number): readonly DispatchEffect[];
  hasOpenServer(): boolean;
  liveJobs(): number;
  counts(): DispatchCounts;
}

export interface DispatchCounts {
  readonly submitted: number;
  readonly completed: number;
  readonly failed: number;
  readonly timedOut: number;
  readonly refused: number;
  readonly abandoned: number;
  readonly offers: number;
  readonly offersRefused: number;
  readonly runsFailed: number;
  readonly runsLost: number;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const workers = new Map<SessionId, Worker>();
  const jobs = new Map<SubmissionId, LiveJob>();
  /** Jobs that are active or whose runs are being stopped, by job id. */
  const liveByJobId = new Map<string, LiveJob>();
  /** Resubmissions that wait until the runs of an earlier one have ended. */
  const successors = new Map<string, Submission>();
  const sides = createSideSessions({
    entry: options.entry,
    timing: options.timing,
    workers,
    findTask,
    handleRunUpdate,
    send: (session, frame) => effects.push({ kind: "send", session, frame }),
    close: (session) => effects.push({ kind: "close", session }),
    log,
  });
  const placer = createPlacer({
    workers,
    remoteFactor: options.remoteFactor,
    random: options.random,
    slowness: () => baselineSlowness,
    lateReserve: options.lateReserve ?? LATE_RESERVE,
    entries: sides.entries,
    isStarting,
    refuse: (live, retryAfterMs, now) =>
      refuse(live, "overload", retryAfterMs, now),
    log,
  });
  const counts = {
    submitted: 0,
    completed: 0,
    failed: 0,
    timedOut: 0,
    refused: 0,
    abandoned: 0,
    offersRefused: 0,
    runsFailed: 0,
    runsLost: 0,
  };
  let effects: DispatchEffect[] = [];
  let stopDeadline = Infinity;
  let isPlacementDue = false;
  let lastTickAt = 0;
  /** Time of the first tick or submission. */
  let startedAt: number | undefined;
  let baselineSlowness = 1;

  function log(decision: DispatchDecision): void {
    effects.push({ kind: "log", decision });
  }

  // --- Submissions ---

  function submit(submission: Submission, now: number): void {
    startedAt ??= now;
    counts.submitted += 1;
    const { id, job, queue } = submission;
    const previous = liveByJobId.get(job.id);
    if (previous !== undefined) {
      // The caller lost its connection and resubmitted the job to this entry.
      if (!previous.isAnswered) abandonJob(previous, now);
      if (liveByJobId.has(job.id)) {
        const superseded = successors.get(job.id);
        if (superseded !== undefined) refuseSuperseded(superseded);
        successors.set(job.id, submission);
        return;
      }
    }
    const expectedMs = criticalPathMs(job) * baselineSlowness;
    const objective = objectiveMs(expectedMs, queue);
    const timeoutMs = Math.max(0, job.timeoutMs - ANSWER_MARGIN_MS);
    const submittedAt = now - submission.ageMs;
    const live = createLiveJob(job, queue, {
      submission: id,
      arrivedAt: now,
      dueAt: submittedAt + objective,
      staleAt: Math.min(
        submittedAt + objective * STALE_FACTOR,
        now + timeoutMs,
      ),
      timeoutAt: now + timeoutMs,
      remainingPathMs: remainingPathMs(job),
    });
    jobs.set(id, live);
    liveByJobId.set(job.id, live);
    logSubmission(live, submission, now);
    admit(live, now);
  }

  function logSubmission(
    live: LiveJob,
    { configurationVersion, ageMs }: Submission,
    now: number,
  ): void {
    log({
      message: "job submitted",
      job: live.job.id,
      queue: live.queue.name,
      configurationVersion,
      figures: {
        tasks: live.tasks.length,
        slackMs: Math.round(latestStart(live, baselineSlowness) - now),
        timeoutMs: Math.round(live.job.timeoutMs),
        ageMs: Math.round(ageMs),
        servers: workers.size,
      },
    });
  }

  function admit(live: LiveJob, now: number): void {
    const expectedMs = Math.max(0, ...live.remainingPathMs) * baselineSlowness;
    if (now + expectedMs * STOP_MARGIN_FACTOR > stopDeadline) {
      return refuse(live, "stopping", 0, now);
    }
    if (!isSupported(live)) return refuse(live, "unsupported", 0, now);
    if (now > latestUsefulStart(live, baselineSlowness)) {
      return refuse(live, "overload", LATE_RETRY_AFTER_MS, now);
    }
    if (live.tasks.length === 0) return complete(live, now);
    isPlacementDue = true;
    // Shortly after the start, servers are still connecting.
    if (isStarting(now)) return;
    if (!hasOpenServer(workers)) return refuse(live, "unavailable", 1000, now);
    if (!hasCapableServers(live)) fail(live, "fitsNowhere", now);
  }

  /** Gangs and permits are not implemented; such jobs would never end. */
  function isSupported(live: LiveJob): boolean {
    return !live.queue.isPermitRequired &&
      !live.job.steps.some((step) => step.isGang);
  }

  function isStarting(now: number): boolean {
    return startedAt === undefined || now < startedAt + SERVER_DISCOVERY_MS;
  }

  function hasCapableServers(live: LiveJob): boolean {
    return live.job.steps.every((step) => {
      for (const { report } of workers.values()) {
        if (report?.service !== live.queue.service) continue;
        if (isCapable(step, report)) return true;
      }
      return false;
    });
  }

  // --- Answers ---

  function answer(live: LiveJob, result: Answer, now: number): void {
    if (live.isAnswered) return;
    live.isAnswered = true;
    effects.push({
      kind: "answer",
      submission: live.submission,
      answer: result,
    });
    log({
      message: "job answered",
      job: live.job.id,
      queue: live.queue.name,
      reason: "reason" in result
        ? `${result.kind}: ${result.reason}`
        : result.kind,
      figures: {
        ms: Math.round(now - live.arrivedAt),
        lateMs: Math.round(now - live.dueAt),
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

  /** Refuses a pending submission that a newer one of its job replaces. */
  function refuseSuperseded(submission: Submission): void {
    counts.refused += 1;
    const reason = "abandoned";
    const result: Answer = { kind: "refused", reason, retryAfterMs: 0 };
    effects.push({ kind: "answer", submission: submission.id, answer: result });
    log({
      message: "job answered",
      job: submission.job.id,
      queue: submission.queue.name,
      reason: `refused: ${reason}`,
    });
  }

  function abandon(submission: SubmissionId, now: number): void {
    const live = jobs.get(submission);
    if (live !== undefined) {
      if (!live.isAnswered) abandonJob(live, now);
      return;
    }
    for (const [job, successor] of successors) {
      if (successor.id === submission) successors.delete(job);
    }
  }

  function abandonJob(live: LiveJob, now: number): void {
    counts.abandoned += 1;
    live.isAnswered = true;
    log({
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
    isPlacementDue = true;
  }

  function placeJobs(now: number): void {
    isPlacementDue = false;
    placer.place(jobs.values(), now);
  }

  function submitSuccessors(now: number): void {
    for (const [job, submission] of successors) {
      if (liveByJobId.has(job)) continue;
      successors.delete(job);
      submit(submission, now);
    }
  }

  // --- Run updates ---

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
        logTask("run lost", task, update.reason);
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
    logTask(
      "run failed",
      task,
      `failed attempts: ${task.failures} of ${live.queue.attempts}`,
    );
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
    isPlacementDue = true;
  }

  /** Makes the task ready to be offered again, unless its job has ended. */
  function requeue(live: LiveJob, task: LiveTask): void {
    if (live.isAnswered) {
      task.state = "done";
      removeIfEnded(live);
      return;
    }
    task.state = "waiting";
    isPlacementDue = true;
  }

  function logTask(message: string, task: LiveTask, reason?: string): void {
    log({
      message,
      job: task.ref.job,
      index: task.ref.index,
      run: task.run,
      server: task.server,
      reason,
    });
  }

  // --- Time ---

  function tick(now: number): void {
    startedAt ??= now;
    const wasPaused = now - lastTickAt > options.timing.pauseThresholdMs;
    lastTickAt = now;
    if (!wasPaused) sides.closeSilentSides(now);
    sides.expireUnconfirmedRuns(now);
    baselineSlowness = estimateBaselineSlowness();
    for (const live of [...jobs.values()]) {
      if (!live.isAnswered) enforceDeadlines(live, now);
    }
    isPlacementDue = true;
  }

  /** Estimates the ratio of actual to declared run time on healthy servers. */
  function estimateBaselineSlowness(): number {
    const values: number[] = [];
    for (const { report } of workers.values()) {
      if (report !== undefined) values.push(report.slowness);
    }
    if (values.length === 0) return 1;
    values.sort((left, right) => left - right);
    return values[Math.floor(values.length * BASELINE_QUANTILE)]!;
  }

  function enforceDeadlines(live: LiveJob, now: number): void {
    if (now >= live.timeoutAt) {
      if (live.mayHaveRun) timeOut(live, now);
      else refuse(live, "overload", LATE_RETRY_AFTER_MS, now);
      return;
    }
    if (live.mayHaveRun) return;
    // A retry elsewhere would not help while the whole fleet is starting.
    if (!hasOpenServer(workers) && isStarting(now)) return;
    if (now > latestUsefulStart(live, baselineSlowness)) {
      refuse(live, "overload", LATE_RETRY_AFTER_MS, now);
    }
  }

  return {
    submit,
    abandon,
    sessionOpened: sides.opened,
    frameReceived(session, frame, now) {
      sides.received(session, frame, now);
      isPlacementDue = true;
    },
    sessionClosed: sides.closed,
    setEntries: sides.setEntries,
    setStopDeadline(time) {
      stopDeadline = time;
    },
    tick,
    takeEffects(now) {
      submitSuccessors(now);
      if (isPlacementDue) placeJobs(now);
      sides.flush(now);
      const taken = effects;
      effects = [];
      return taken;
    },
    hasOpenServer: () => hasOpenServer(workers),
    liveJobs: () => jobs.size,
    counts: () => ({ ...counts, offers: placer.offers() }),
  };
}

/** Quantile of the slowness of all servers that represents a healthy one. */
const BASELINE_QUANTILE = 0.3;

/** Safety factor on the expected duration of jobs accepted during shutdown. */
const STOP_MARGIN_FACTOR = 2;

/** Retry-After for jobs refused because their answer would be too late. */
const LATE_RETRY_AFTER_MS = 1000;
