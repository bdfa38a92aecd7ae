/**
 * Accepts or refuses callers' jobs, offers their tasks to sides, retries failed
 * runs and answers the callers. Only one entry holds the state of a job; the
 * sides stop its runs when that entry is lost.
 */
import type { Job, Queue, Timing, WorkFrame } from "@coltsfootreach/run";
import type { Answer } from "./answer.ts";
import {
  createDispatcherState,
  type DispatchTotals,
} from "./dispatcher_state.ts";
import type { DispatchEffect, SessionId, SubmissionId } from "./effect.ts";
import { createJobEndings } from "./job_endings.ts";
import { createLiveJob, type LiveJob } from "./live_job.ts";
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
import { createRunUpdates } from "./run_updates.ts";
import { createSideSessions } from "./sides.ts";
import { createSubmissionCounter } from "./submission_counter.ts";
import { hasOpenServer } from "./workers.ts";

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
  /** Longest time that the submission may have waited unread; default 0. */
  readonly maxAgeMs?: number | undefined;
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

export interface DispatchCounts extends Readonly<DispatchTotals> {
  readonly offers: number;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const state = createDispatcherState();
  const { counts, jobs, liveByJobId, log, workers } = state;
  const endings = createJobEndings(state);
  const { abandonJob, complete, fail, refuse, timeOut } = endings;
  const { findTask, handleRunUpdate } = createRunUpdates(state, endings);
  /** Resubmissions that wait until the runs of an earlier one have ended. */
  const successors = new Map<string, Submission>();
  const submissionCounter = createSubmissionCounter();
  const sides = createSideSessions({
    entry: options.entry,
    timing: options.timing,
    workers,
    findTask,
    handleRunUpdate,
    send: (session, frame) => state.emit({ kind: "send", session, frame }),
    close: (session) => state.emit({ kind: "close", session }),
    log,
  });
  const placer = createPlacer({
    workers,
    remoteFactor: options.remoteFactor,
    random: options.random,
    slowness: () => state.baselineSlowness,
    lateReserve: options.lateReserve ?? LATE_RESERVE,
    entries: sides.entries,
    isStarting,
    refuse: (live, retryAfterMs, now) =>
      refuse(live, "overload", retryAfterMs, now),
    log,
  });
  let stopDeadline = Infinity;
  let lastTickAt = 0;
  /** Time of the first tick or submission. */
  let startedAt: number | undefined;

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
    const expectedMs = criticalPathMs(job) * state.baselineSlowness;
    const objective = objectiveMs(expectedMs, queue);
    const timeoutMs = computeTimeoutMs(submission);
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

  /**
   * No run may be active when the caller, which may have waited for `maxAgeMs`
   * before, gives up unnoticed and resubmits its job to another entry.
   */
  function computeTimeoutMs({ job, maxAgeMs = 0 }: Submission): number {
    const { resubmitAfterMs } = options.timing;
    const elapsedMs = Math.max(0, maxAgeMs - resubmitAfterMs);
    return Math.max(0, job.timeoutMs - elapsedMs - ANSWER_MARGIN_MS);
  }

  function logSubmission(
    live: LiveJob,
    { configurationVersion, ageMs, maxAgeMs = 0 }: Submission,
    now: number,
  ): void {
    log({
      message: "job submitted",
      job: live.job.id,
      queue: live.queue.name,
      configurationVersion,
      figures: {
        tasks: live.tasks.length,
        submission: submissionCounter.count(live.job.id),
        slackMs: Math.round(latestStart(live, state.baselineSlowness) - now),
        timeoutMs: Math.round(live.job.timeoutMs),
        ageMs: Math.round(ageMs),
        maxAgeMs: Math.round(maxAgeMs),
        servers: workers.size,
      },
    });
  }

  function admit(live: LiveJob, now: number): void {
    const expectedMs = Math.max(0, ...live.remainingPathMs) *
      state.baselineSlowness;
    if (now + expectedMs * STOP_MARGIN_FACTOR > stopDeadline) {
      return refuse(live, "stopping", 0, now);
    }
    if (!isSupported(live)) return refuse(live, "unsupported", 0, now);
    if (now > latestUsefulStart(live, state.baselineSlowness)) {
      return refuse(live, "overload", LATE_RETRY_AFTER_MS, now);
    }
    if (live.tasks.length === 0) return complete(live, now);
    state.isPlacementDue = true;
    // Shortly after the start, servers are still connecting.
    if (isStarting(now)) return;
    if (!hasOpenServer(workers)) {
      return refuse(live, "unavailable", UNAVAILABLE_RETRY_AFTER_MS, now);
    }
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

  /** Refuses a pending submission that a newer one of its job replaces. */
  function refuseSuperseded(submission: Submission): void {
    counts.refused += 1;
    const reason = "abandoned";
    const result: Answer = { kind: "refused", reason, retryAfterMs: 0 };
    state.emit({ kind: "answer", submission: submission.id, answer: result });
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

  function placeJobs(now: number): void {
    state.isPlacementDue = false;
    placer.place(jobs.values(), now);
  }

  function submitSuccessors(now: number): void {
    for (const [job, submission] of successors) {
      if (liveByJobId.has(job)) continue;
      successors.delete(job);
      submit(submission, now);
    }
  }

  // --- Time ---

  function tick(now: number): void {
    startedAt ??= now;
    const wasPaused = now - lastTickAt > options.timing.pauseThresholdMs;
    lastTickAt = now;
    if (!wasPaused) sides.closeSilentSides(now);
    sides.expireUnconfirmedRuns(now);
    state.baselineSlowness = estimateBaselineSlowness();
    for (const live of [...jobs.values()]) {
      if (!live.isAnswered) enforceDeadlines(live, now);
    }
    state.isPlacementDue = true;
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
    if (now > latestUsefulStart(live, state.baselineSlowness)) {
      refuse(live, "overload", LATE_RETRY_AFTER_MS, now);
    }
  }

  return {
    submit,
    abandon,
    sessionOpened: sides.opened,
    frameReceived(session, frame, now) {
      sides.received(session, frame, now);
      state.isPlacementDue = true;
    },
    sessionClosed: sides.closed,
    setEntries: sides.setEntries,
    setStopDeadline(time) {
      stopDeadline = time;
    },
    tick,
    takeEffects(now) {
      submitSuccessors(now);
      if (state.isPlacementDue) placeJobs(now);
      sides.flush(now);
      return state.takeEffects();
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

/** Retry-After for jobs refused while no server accepts runs. */
const UNAVAILABLE_RETRY_AFTER_MS = 1000;

/** Retry-After for jobs refused because their answer would be too late. */
const LATE_RETRY_AFTER_MS = 1000;
