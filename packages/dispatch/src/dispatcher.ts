/**
 * An entry's decisions about its callers' jobs: takes or refuses them, offers
 * their tasks to sides, repeats what failed, and answers. A job lives in one
 * entry only; the sides end its runs when the entry is gone.
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
  askStop,
  createLiveJob,
  type FoundTask,
  type LiveJob,
  type LiveTask,
  unblock,
} from "./live_job.ts";
import {
  longestChainMs,
  objectiveMs,
  remainingChainMs,
  STALE_FACTOR,
} from "./objective.ts";
import { latestStart, latestUsefulStart } from "./order.ts";
import { couldRun } from "./placement.ts";
import { createPlacer } from "./placer.ts";
import { createSides } from "./sides.ts";
import { hasOpenServer, type Worker } from "./workers.ts";

/** Time that the answer takes to reach the caller. */
const ANSWER_MARGIN_MS = 60;

/** Time from the start of an entry in which servers are still to be found. */
const STARTING_MS = 2500;

export interface DispatcherOptions {
  readonly entry: string;
  readonly timing: Timing;
  /** A task takes this much longer away from the rack with its data. */
  readonly remoteFactor: number;
  /** Number from 0 to 1. */
  random(): number;
}

export interface Submission {
  readonly id: SubmissionId;
  readonly job: Job;
  readonly queue: Queue;
  readonly configurationVersion: number;
  /** How long the caller has waited before it came here, as far as known. */
  readonly ageMs: number;
}

export interface Dispatcher {
  submit(submission: Submission, now: number): void;
  /** The caller has left. */
  abandon(submission: SubmissionId, now: number): void;
  sessionOpened(session: SessionId, now: number): void;
  sessionSent(session: SessionId, frame: WorkFrame, now: number): void;
  sessionClosed(session: SessionId, now: number): void;
  /** Addresses of all entries, to be passed on to sides. */
  setEntries(addresses: readonly string[]): void;
  /** Refuses jobs that are not expected to end by then. */
  stopBy(time: number): void;
  tick(now: number): void;
  /** Places what can be placed; returns what is to be done. */
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
  /** The submission that is live, or whose runs are being stopped, by job. */
  const byJob = new Map<string, LiveJob>();
  /** Submissions of jobs whose earlier submission still has runs. */
  const successors = new Map<string, Submission>();
  const sides = createSides({
    entry: options.entry,
    timing: options.timing,
    workers,
    find,
    takeNews,
    send: (session, frame) => effects.push({ kind: "send", session, frame }),
    close: (session) => effects.push({ kind: "close", session }),
    log,
  });
  const placer = createPlacer({
    workers,
    remoteFactor: options.remoteFactor,
    random: options.random,
    slowness: () => soundSlowness,
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
  let stopsAt = Infinity;
  let mayPlace = false;
  let tickedAt = 0;
  /** First tick or submission. */
  let startedAt: number | undefined;
  let soundSlowness = 1;

  function log(decision: DispatchDecision): void {
    effects.push({ kind: "log", decision });
  }

  // --- Submissions ---

  function submit(submission: Submission, now: number): void {
    startedAt ??= now;
    counts.submitted += 1;
    const { id, job, queue } = submission;
    const before = byJob.get(job.id);
    if (before !== undefined) {
      // The caller has lost its connection and came back here.
      if (!before.isAnswered) abandonJob(before, now);
      if (byJob.has(job.id)) {
        const waiting = successors.get(job.id);
        if (waiting !== undefined) refuseUnseen(waiting);
        successors.set(job.id, submission);
        return;
      }
    }
    const chain = longestChainMs(job) * soundSlowness;
    const objective = objectiveMs(chain, queue);
    const timeoutMs = Math.max(0, job.timeoutMs - ANSWER_MARGIN_MS);
    const sentAt = now - submission.ageMs;
    const live = createLiveJob(job, queue, {
      submission: id,
      arrivedAt: now,
      dueAt: sentAt + objective,
      staleAt: Math.min(sentAt + objective * STALE_FACTOR, now + timeoutMs),
      giveUpAt: now + timeoutMs,
      chainMs: remainingChainMs(job),
    });
    jobs.set(id, live);
    byJob.set(job.id, live);
    logArrival(live, submission, now);
    admit(live, now);
  }

  function logArrival(
    live: LiveJob,
    { configurationVersion, ageMs }: Submission,
    now: number,
  ): void {
    log({
      message: "job handed in",
      job: live.job.id,
      queue: live.queue.name,
      configurationVersion,
      figures: {
        tasks: live.tasks.length,
        slackMs: Math.round(latestStart(live, soundSlowness) - now),
        timeoutMs: Math.round(live.job.timeoutMs),
        ageMs: Math.round(ageMs),
        servers: workers.size,
      },
    });
  }

  function admit(live: LiveJob, now: number): void {
    const chainMs = Math.max(0, ...live.chainMs) * soundSlowness;
    if (now + chainMs * STOP_FACTOR > stopsAt) {
      return refuse(live, "stopping", 0, now);
    }
    if (!isSupported(live)) return refuse(live, "unsupported", 0, now);
    if (now > latestUsefulStart(live, soundSlowness)) {
      return refuse(live, "overload", LATE_RETRY_MS, now);
    }
    if (live.tasks.length === 0) return complete(live, now);
    mayPlace = true;
    // Shortly after the start, servers are about to be heard of.
    if (isStarting(now)) return;
    if (!hasOpenServer(workers)) return refuse(live, "unavailable", 1000, now);
    if (!couldRunAll(live)) fail(live, "fitsNowhere", now);
  }

  /** Gangs and permits are not built yet; such jobs would never end. */
  function isSupported(live: LiveJob): boolean {
    return !live.queue.isPermitRequired &&
      !live.job.steps.some((step) => step.isGang);
  }

  function isStarting(now: number): boolean {
    return startedAt === undefined || now < startedAt + STARTING_MS;
  }

  function couldRunAll(live: LiveJob): boolean {
    return live.job.steps.every((step) => {
      for (const { report } of workers.values()) {
        if (report?.service !== live.queue.service) continue;
        if (couldRun(step, report)) return true;
      }
      return false;
    });
  }

  // --- Answers ---

  function answer(live: LiveJob, to: Answer, now: number): void {
    if (live.isAnswered) return;
    live.isAnswered = true;
    effects.push({ kind: "answer", submission: live.submission, answer: to });
    log({
      message: "job answered",
      job: live.job.id,
      queue: live.queue.name,
      reason: "reason" in to ? `${to.kind}: ${to.reason}` : to.kind,
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
    endRuns(live);
  }

  function fail(
    live: LiveJob,
    reason: Extract<Answer, { kind: "failed" }>["reason"],
    now: number,
  ): void {
    counts.failed += 1;
    answer(live, { kind: "failed", reason }, now);
    endRuns(live);
  }

  function timeOut(live: LiveJob, now: number): void {
    counts.timedOut += 1;
    answer(live, { kind: "timedOut" }, now);
    endRuns(live);
  }

  function refuse(
    live: LiveJob,
    reason: RefusalReason,
    retryAfterMs: number,
    now: number,
  ): void {
    counts.refused += 1;
    answer(live, { kind: "refused", reason, retryAfterMs }, now);
    endRuns(live);
  }

  /** Answers a submission that another one of its job has overtaken. */
  function refuseUnseen(submission: Submission): void {
    counts.refused += 1;
    const reason = "abandoned";
    const to: Answer = { kind: "refused", reason, retryAfterMs: 0 };
    effects.push({ kind: "answer", submission: submission.id, answer: to });
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
    for (const [job, waiting] of successors) {
      if (waiting.id === submission) successors.delete(job);
    }
  }

  function abandonJob(live: LiveJob, now: number): void {
    counts.abandoned += 1;
    live.isAnswered = true;
    log({
      message: "job abandoned by its caller",
      job: live.job.id,
      queue: live.queue.name,
      figures: { ms: Math.round(now - live.arrivedAt), left: live.left },
    });
    endRuns(live);
  }

  /** Stops what still runs; the job is forgotten when nothing does. */
  function endRuns(live: LiveJob): void {
    for (const task of live.tasks) {
      if (task.state === "placed") stopRun(task);
      else if (task.state !== "unsure") task.state = "done";
    }
    forgetIfOver(live);
  }

  function stopRun(task: LiveTask): void {
    if (task.session !== undefined) askStop(task, workers.get(task.session));
  }

  function forgetIfOver(live: LiveJob): void {
    if (!live.isAnswered) return;
    const isOver = live.tasks.every((task) =>
      task.state !== "placed" && task.state !== "unsure"
    );
    if (!isOver) return;
    jobs.delete(live.submission);
    if (byJob.get(live.job.id) !== live) return;
    byJob.delete(live.job.id);
    mayPlace = true;
  }

  function placeAll(now: number): void {
    mayPlace = false;
    placer.place(jobs.values(), now);
  }

  function resumeSuccessors(now: number): void {
    for (const [job, submission] of successors) {
      if (byJob.has(job)) continue;
      successors.delete(job);
      submit(submission, now);
    }
  }

  // --- News of runs ---

  function find({ task: ref, run }: RunRef): FoundTask | undefined {
    const live = byJob.get(ref.job);
    const task = live?.tasks.find((one) =>
      one.ref.step === ref.step && one.ref.index === ref.index
    );
    if (live === undefined || task?.run !== run) return undefined;
    return { live, task };
  }

  function takeNews(news: RunUpdate, now: number): void {
    const found = find(news.ref);
    if (found === undefined) return;
    const { live, task } = found;
    if (task.state !== "placed" && task.state !== "unsure") return;
    if (news.kind === "stalled") {
      task.avoid.add(task.server);
      logTask("task moves: no progress", task);
      stopRun(task);
      return;
    }
    workers.get(task.session ?? -1)?.runs.delete(keyOfTask(task.ref));
    task.session = undefined;
    task.isStopping = false;
    switch (news.kind) {
      case "refused":
        counts.offersRefused += 1;
        task.run = Math.max(task.run, news.highestRun);
        if (news.reason === "suspect") task.avoid.add(task.server);
        wait(live, task);
        return;
      case "lost":
        counts.runsLost += 1;
        logTask("run lost", task, news.reason);
        wait(live, task);
        return;
      case "ended":
        takeEnd(live, task, news.end, now);
    }
  }

  function takeEnd(
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
      wait(live, task);
      return;
    }
    counts.runsFailed += 1;
    task.failures += 1;
    task.avoid.add(task.server);
    logTask("run failed", task, `${task.failures} of ${live.queue.attempts}`);
    wait(live, task);
    const isUsedUp = task.failures >= live.queue.attempts;
    if (isUsedUp && !live.isAnswered) fail(live, "attemptsUsed", now);
  }

  function finishTask(live: LiveJob, task: LiveTask, now: number): void {
    task.state = "done";
    if (live.isAnswered) {
      forgetIfOver(live);
      return;
    }
    live.left -= 1;
    if (live.left === 0) complete(live, now);
    else unblock(live);
    mayPlace = true;
  }

  /** The task does not run; it is offered again if its job still wants it. */
  function wait(live: LiveJob, task: LiveTask): void {
    if (live.isAnswered) {
      task.state = "done";
      forgetIfOver(live);
      return;
    }
    task.state = "waiting";
    mayPlace = true;
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
    const wasPaused = now - tickedAt > options.timing.pauseThresholdMs;
    tickedAt = now;
    if (!wasPaused) sides.loseSilent(now);
    sides.expireUnsure(now);
    soundSlowness = learnSoundSlowness();
    for (const live of [...jobs.values()]) {
      if (!live.isAnswered) reviewJob(live, now);
    }
    mayPlace = true;
  }

  /** Run time over declared time on servers that are not among the slow ones. */
  function learnSoundSlowness(): number {
    const values: number[] = [];
    for (const { report } of workers.values()) {
      if (report !== undefined) values.push(report.slowness);
    }
    if (values.length === 0) return 1;
    values.sort((left, right) => left - right);
    return values[Math.floor(values.length * SOUND_QUANTILE)]!;
  }

  function reviewJob(live: LiveJob, now: number): void {
    if (now >= live.giveUpAt) {
      if (live.mayHaveRun) timeOut(live, now);
      else refuse(live, "overload", LATE_RETRY_MS, now);
      return;
    }
    if (live.mayHaveRun) return;
    // Nobody else can do better while all of the fleet starts.
    if (!hasOpenServer(workers) && isStarting(now)) return;
    if (now > latestUsefulStart(live, soundSlowness)) {
      refuse(live, "overload", LATE_RETRY_MS, now);
    }
  }

  return {
    submit,
    abandon,
    sessionOpened: sides.opened,
    sessionSent(session, frame, now) {
      sides.received(session, frame, now);
      mayPlace = true;
    },
    sessionClosed: sides.closed,
    setEntries: sides.setEntries,
    stopBy(time) {
      stopsAt = time;
    },
    tick,
    takeEffects(now) {
      resumeSuccessors(now);
      if (mayPlace) placeAll(now);
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

/** Part of the servers that count as at least as fast as a sound one. */
const SOUND_QUANTILE = 0.3;

/** A job taken while stopping may take this much longer than foretold. */
const STOP_FACTOR = 2;

/** When a caller that was refused late may come back. */
const LATE_RETRY_MS = 1000;
