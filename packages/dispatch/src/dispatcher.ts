/**
 * An entry's decisions about its callers' jobs: takes or refuses them, offers
 * their tasks to sides, repeats what failed, and answers. A job lives in one
 * entry only; the sides end its runs when the entry is gone.
 */
import {
  type Claim,
  type Job,
  keyOfTask,
  type Offer,
  type Queue,
  type RunNews,
  type WorkFrame,
} from "@coltsfootreach/run";
import type { Answer, RefusalReason } from "./answer.ts";
import type {
  DispatchDecision,
  DispatchEffect,
  SessionId,
  SubmissionId,
} from "./effect.ts";
import {
  countOnServer,
  createLiveJob,
  type LiveJob,
  type LiveTask,
  refOf,
  unblock,
  waitingTasks,
} from "./live_job.ts";
import { longestChainMs, objectiveMs, remainingChainMs } from "./objective.ts";
import { isLate, latestStart, orderJobs, type RankedJob } from "./order.ts";
import { choosePlace, couldRun } from "./placement.ts";
import { foretellWaitMs } from "./refusal.ts";
import {
  addOffer,
  createWorker,
  hear,
  release,
  reserve,
  takeFrame,
  type Worker,
} from "./workers.ts";

/** Longest time between frames to a side that holds runs... */
const HEARTBEAT_MS = 200;

/** ...and to one that holds none. */
const IDLE_HEARTBEAT_MS = 1000;

/** A side with runs that was not heard for this long is given up. */
const SIDE_LOST_MS = 500;

/** The same for a side without runs. */
const IDLE_SIDE_LOST_MS = 2500;

/**
 * After this long the runs of a side that was given up are over: it stops them
 * when it has not heard from here for 650 ms, or their lease of at most
 * 1,000 ms runs out after that.
 */
const RUNS_OVER_MS = 1900;

/** After a refusal a side gets no offers for this long, or until it reports. */
const REFUSED_PAUSE_MS = 40;

/** Time that the answer takes to reach the caller. */
const ANSWER_MARGIN_MS = 60;

/** Longest wait that is foretold, and so the longest Retry-After. */
const LONGEST_WAIT_MS = 5000;

/** Time from the start of an entry in which servers are still to be found. */
const STARTING_MS = 2500;

/** Time after which a gap between ticks counts as a pause of the process. */
const PAUSE_MS = 400;

export interface DispatcherOptions {
  readonly entry: string;
  /** Number from 0 to 1. */
  random(): number;
}

export interface Submission {
  readonly id: SubmissionId;
  readonly job: Job;
  readonly queue: Queue;
  readonly configurationVersion: number;
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
  /** Runs on sides whose stream broke, by side. */
  const unsure = new Map<string, UnsureRun[]>();
  const counts = {
    submitted: 0,
    completed: 0,
    failed: 0,
    timedOut: 0,
    refused: 0,
    abandoned: 0,
    offers: 0,
    offersRefused: 0,
    runsFailed: 0,
    runsLost: 0,
  };
  let effects: DispatchEffect[] = [];
  let entries: readonly string[] | undefined;
  let entriesVersion = 0;
  const toldEntries = new Map<SessionId, number>();
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
        if (waiting !== undefined) refuseUnseen(waiting, "abandoned", 0);
        successors.set(job.id, submission);
        return;
      }
    }
    const chain = longestChainMs(job) * soundSlowness;
    const objective = objectiveMs(chain, queue);
    const timeout = Math.min(job.timeoutMs, queue.timeoutMs * 4);
    const live = createLiveJob(job, queue, {
      submission: id,
      arrivedAt: now,
      dueAt: now + objective,
      giveUpAt: now + Math.max(0, timeout - ANSWER_MARGIN_MS),
      chainMs: remainingChainMs(job),
    });
    jobs.set(id, live);
    byJob.set(job.id, live);
    admit(live, submission.configurationVersion, now);
  }

  function admit(live: LiveJob, version: number, now: number): void {
    log({
      message: "job handed in",
      job: live.job.id,
      queue: live.queue.name,
      configurationVersion: version,
      figures: {
        tasks: live.tasks.length,
        slackMs: Math.round(latestStart(live, soundSlowness) - now),
        servers: workers.size,
      },
    });
    const chainMs = Math.max(0, ...live.chainMs) * soundSlowness;
    if (now + chainMs * STOP_FACTOR > stopsAt) {
      return refuse(live, "stopping", 0, now);
    }
    if (!isSupported(live)) return refuse(live, "unsupported", 0, now);
    if (live.tasks.length === 0) return complete(live, now);
    mayPlace = true;
    // Shortly after the start, servers are about to be heard of.
    if (isStarting(now)) return;
    if (!hasOpenServer()) return refuse(live, "unavailable", 1000, now);
    if (!couldRunAll(live)) fail(live, "fitsNowhere", now);
  }

  /** Gangs and permits are not built yet; such jobs would never end. */
  function isSupported(live: LiveJob): boolean {
    return !live.queue.needsAdvice &&
      !live.job.steps.some((step) => step.isGang);
  }

  function isStarting(now: number): boolean {
    return startedAt === undefined || now < startedAt + STARTING_MS;
  }

  function workOf(task: LiveTask): number {
    return task.step.estimateMs * soundSlowness *
      task.step.resources.cpu / 1000;
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

  function hasOpenServer(): boolean {
    for (const { report } of workers.values()) {
      if (report?.isOpen) return true;
    }
    return false;
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

  /** Answers a submission that never became a live job. */
  function refuseUnseen(
    submission: Submission,
    reason: RefusalReason,
    retryAfterMs: number,
  ): void {
    counts.refused += 1;
    const to: Answer = { kind: "refused", reason, retryAfterMs };
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
      if (task.state === "placed") askStop(task);
      else if (task.state !== "unsure") task.state = "done";
    }
    forgetIfOver(live);
  }

  function askStop(task: LiveTask): void {
    if (task.isStopping || task.session === undefined) return;
    const worker = workers.get(task.session);
    if (worker === undefined) return;
    task.isStopping = true;
    worker.stops.push(refOf(task));
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

  function resumeSuccessors(now: number): void {
    for (const [job, submission] of successors) {
      if (byJob.has(job)) continue;
      successors.delete(job);
      submit(submission, now);
    }
  }

  // --- News of runs ---

  function findTask(
    news: RunNews,
  ): { live: LiveJob; task: LiveTask } | undefined {
    const { task: ref, run } = news.ref;
    const live = byJob.get(ref.job);
    const task = live?.tasks.find((one) =>
      one.ref.step === ref.step && one.ref.index === ref.index
    );
    if (live === undefined || task === undefined || task.run !== run) {
      return undefined;
    }
    const isOpen = task.state === "placed" || task.state === "unsure";
    return isOpen ? { live, task } : undefined;
  }

  function takeNews(news: RunNews, now: number): void {
    const found = findTask(news);
    if (found === undefined) return;
    const { live, task } = found;
    if (news.kind === "stalled") {
      task.avoid.add(task.server);
      logTask("task moves: no progress", task);
      askStop(task);
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
    end: Extract<RunNews, { kind: "ended" }>["end"],
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

  // --- Sides ---

  function sessionSent(
    session: SessionId,
    frame: WorkFrame,
    now: number,
  ): void {
    const worker = workers.get(session);
    if (worker === undefined) return;
    const isFirst = worker.side === "";
    hear(worker, frame, now);
    if (isFirst) meetSide(worker);
    if ("server" in frame) logServer(worker);
    for (const news of frame.news) takeNews(news, now);
    for (const news of frame.news) {
      const isFull = news.kind === "refused" && !("server" in frame);
      if (isFull) worker.pausedUntil = now + REFUSED_PAUSE_MS;
    }
    mayPlace = true;
  }

  /** A side has opened a stream; an older one of the same side is over. */
  function meetSide(worker: Worker): void {
    log({ message: "side joined", side: worker.side });
    for (const other of workers.values()) {
      const isOlder = other.side === worker.side && other !== worker;
      if (isOlder) closeWorker(other, "newer stream", worker.heardAt);
    }
  }

  const lastServers = new Map<SessionId, string>();

  /** One line when a belief about a server changes in kind. */
  function logServer(worker: Worker): void {
    const { report, session, side } = worker;
    const belief = report === undefined
      ? "none"
      : `${report.id} ${report.isOpen ? "open" : "closed"}` +
        (report.isSuspect ? " suspect" : "");
    if (lastServers.get(session) === belief) return;
    lastServers.set(session, belief);
    log({ message: "server changed", side, reason: belief });
  }

  function closeWorker(worker: Worker, reason: string, now: number): void {
    workers.delete(worker.session);
    lastServers.delete(worker.session);
    toldEntries.delete(worker.session);
    effects.push({ kind: "close", session: worker.session });
    log({
      message: "side lost",
      side: worker.side,
      reason,
      figures: {
        runs: worker.runs.size,
        silentMs: Math.round(now - worker.heardAt),
      },
    });
    const open: UnsureRun[] = [...worker.runs.values()].map((claim) => ({
      claim,
      overAt: now + RUNS_OVER_MS,
    }));
    for (const { claim } of open) markUnsure(claim);
    if (open.length === 0) return;
    unsure.set(worker.side, [...(unsure.get(worker.side) ?? []), ...open]);
  }

  function markUnsure(claim: Claim): void {
    const { task: ref, run } = claim.ref;
    const task = byJob.get(ref.job)?.tasks.find((one) =>
      one.ref.step === ref.step && one.ref.index === ref.index
    );
    if (task?.run !== run || task.state !== "placed") return;
    task.state = "unsure";
    task.session = undefined;
    task.isStopping = false;
  }

  /** Runs of broken streams that are over by now, whatever became of them. */
  function expireUnsure(now: number): void {
    for (const [side, open] of unsure) {
      const left = open.filter((run) => run.overAt > now);
      for (const { claim, overAt } of open) {
        if (overAt > now) continue;
        takeNews({ kind: "lost", ref: claim.ref, reason: "side lost" }, now);
      }
      if (left.length === 0) unsure.delete(side);
      else unsure.set(side, left);
    }
  }

  /** The new stream of a side takes over what the old one had. */
  function takeClaims(worker: Worker): readonly Claim[] {
    const open = unsure.get(worker.side) ?? [];
    unsure.delete(worker.side);
    const claims: Claim[] = [];
    for (const { claim } of open) {
      const { task: ref, run } = claim.ref;
      const live = byJob.get(ref.job);
      const task = live?.tasks.find((one) =>
        one.ref.step === ref.step && one.ref.index === ref.index
      );
      if (live === undefined || task?.run !== run) continue;
      if (task.state !== "unsure") continue;
      task.state = "placed";
      task.session = worker.session;
      worker.runs.set(keyOfTask(ref), claim);
      claims.push(claim);
      if (live.isAnswered) askStop(task);
    }
    return claims;
  }

  // --- Placing ---

  function place(now: number): void {
    mayPlace = false;
    const waiting: LiveJob[] = [];
    for (const live of jobs.values()) {
      if (!live.isAnswered && waitingTasks(live).length > 0) waiting.push(live);
    }
    if (waiting.length === 0) return;
    let workAhead = 0;
    const order = orderJobs(waiting, { now, slowness: soundSlowness });
    for (const ranked of order) {
      workAhead += placeJob(ranked, workAhead, now);
    }
  }

  /**
   * Offers what finds room and returns the core-milliseconds that do not. A job
   * is not begun, and is refused, when its rest is foretold to come too late.
   */
  function placeJob(ranked: RankedJob, workAhead: number, now: number): number {
    const { live } = ranked;
    const { placements, workLeft } = planJob(ranked, now);
    if (!live.mayHaveRun && !isInTime(ranked, workAhead + workLeft, now)) {
      for (const { task, worker } of placements) {
        release(worker, task.step.resources);
      }
      return 0;
    }
    for (const { task, worker } of placements) offer(live, task, worker, now);
    return workLeft;
  }

  /** Reserves room for the tasks that wait, as far as there is any. */
  function planJob(ranked: RankedJob, now: number): Plan {
    const placements: Placement[] = [];
    let workLeft = 0;
    for (const task of waitingTasks(ranked.live)) {
      const worker = chooseFor(ranked, task, now);
      if (worker === undefined) {
        workLeft += workOf(task);
        continue;
      }
      reserve(worker, task.step.resources);
      placements.push({ task, worker });
    }
    return { placements, workLeft };
  }

  /** Refuses a job whose tasks are foretold to find room too late. */
  function isInTime(ranked: RankedJob, work: number, now: number): boolean {
    const { live } = ranked;
    // What is known of the fleet then says little about its room.
    if (isStarting(now) || !hasOpenServer()) return true;
    const waitMs = foretellWaitMs({ work, rate: roomRate() }, LONGEST_WAIT_MS);
    const slackMs = ranked.latestStart - now;
    if (waitMs <= slackMs) return true;
    log({
      message: "wait foretold",
      job: live.job.id,
      queue: live.queue.name,
      figures: {
        waitMs: Math.round(waitMs),
        slackMs: Math.round(slackMs),
        work: Math.round(work),
      },
    });
    refuse(live, "overload", waitMs - slackMs, now);
    return false;
  }

  /** Core-milliseconds a millisecond that this entry can count on. */
  function roomRate(): number {
    let cpu = 0;
    for (const { report } of workers.values()) {
      if (report?.isOpen && !report.isSuspect) cpu += report.capacity.cpu;
    }
    return cpu / 1000 / Math.max(1, entries?.length ?? 1);
  }

  function chooseFor(
    ranked: RankedJob,
    task: LiveTask,
    now: number,
  ): Worker | undefined {
    const { live } = ranked;
    const afterMs = live.chainMs[task.ref.step]! - task.step.estimateMs;
    const need = {
      endBy: isLate(ranked) ? undefined : live.dueAt - afterMs * soundSlowness,
      step: task.step,
      service: live.queue.service,
      now,
      avoid: task.avoid,
      mayUseSuspects: task.failures === 0 && live.queue.attempts > 1,
      countOnServer: (server: string) =>
        countOnServer(live, task.ref.step, server),
      random: options.random,
    };
    const place = choosePlace(workers.values(), need);
    if (place !== undefined || hasUnspoiltPlace(live, task)) return place;
    return choosePlace(workers.values(), {
      ...need,
      avoid: NO_SERVERS,
      mayUseSuspects: true,
    });
  }

  /** True while some server that could run the task is neither avoided nor suspect. */
  function hasUnspoiltPlace(live: LiveJob, task: LiveTask): boolean {
    for (const { report } of workers.values()) {
      if (report?.service !== live.queue.service || !report.isOpen) continue;
      if (report.isSuspect || task.avoid.has(report.id)) continue;
      if (couldRun(task.step, report)) return true;
    }
    return false;
  }

  function offer(
    live: LiveJob,
    task: LiveTask,
    worker: Worker,
    now: number,
  ): void {
    const { report } = worker;
    if (report === undefined) return;
    task.run += 1;
    task.state = "placed";
    task.session = worker.session;
    task.server = report.id;
    task.placedAt = now;
    live.mayHaveRun = true;
    counts.offers += 1;
    const offered: Offer = {
      task: task.ref,
      run: task.run,
      payload: live.job.payload,
      resources: task.step.resources,
      estimateMs: task.step.estimateMs,
      server: report.id,
      born: report.born,
    };
    addOffer(worker, offered, now);
  }

  // --- Time ---

  function tick(now: number): void {
    startedAt ??= now;
    const wasPaused = now - tickedAt > PAUSE_MS;
    tickedAt = now;
    if (!wasPaused) loseSilentSides(now);
    expireUnsure(now);
    soundSlowness = learnSoundSlowness();
    for (const live of [...jobs.values()]) {
      if (!live.isAnswered) reviewJob(live, now);
    }
    mayPlace = true;
  }

  function loseSilentSides(now: number): void {
    for (const worker of [...workers.values()]) {
      const isBusy = worker.runs.size > 0;
      const limitMs = isBusy ? SIDE_LOST_MS : IDLE_SIDE_LOST_MS;
      const since = isBusy
        ? Math.max(worker.heardAt, worker.busySince)
        : worker.heardAt;
      if (now - since > limitMs) closeWorker(worker, "silent", now);
    }
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
      else refuse(live, "overload", 1000, now);
      return;
    }
    if (live.mayHaveRun) return;
    // Nobody else can do better while all of the fleet starts.
    if (!hasOpenServer() && isStarting(now)) return;
    if (now > latestStart(live, soundSlowness)) {
      refuse(live, "overload", LATE_RETRY_MS, now);
    }
  }

  // --- Output ---

  function flush(now: number): void {
    for (const worker of workers.values()) {
      if (worker.side === "") continue;
      const told = toldEntries.get(worker.session) ?? 0;
      const hasNews = told !== entriesVersion && entries !== undefined;
      const quietMs = now - worker.sentAt;
      const heartbeatMs = worker.runs.size > 0
        ? HEARTBEAT_MS
        : IDLE_HEARTBEAT_MS;
      const isDue = worker.offers.length > 0 || worker.stops.length > 0 ||
        hasNews || !worker.isIntroduced || quietMs >= heartbeatMs;
      if (!isDue) continue;
      toldEntries.set(worker.session, entriesVersion);
      const claims = worker.isIntroduced ? [] : takeClaims(worker);
      const frame = takeFrame(worker, {
        entry: options.entry,
        entries: hasNews ? entries : undefined,
        claims,
      }, now);
      effects.push({ kind: "send", session: worker.session, frame });
    }
  }

  return {
    submit,
    abandon,
    sessionOpened(session, now) {
      workers.set(session, createWorker(session, now));
    },
    sessionSent,
    sessionClosed(session, now) {
      const worker = workers.get(session);
      if (worker !== undefined) closeWorker(worker, "stream closed", now);
    },
    setEntries(addresses) {
      entries = addresses;
      entriesVersion += 1;
    },
    stopBy(time) {
      stopsAt = time;
    },
    tick,
    takeEffects(now) {
      resumeSuccessors(now);
      if (mayPlace) place(now);
      flush(now);
      const taken = effects;
      effects = [];
      return taken;
    },
    hasOpenServer,
    liveJobs: () => jobs.size,
    counts: () => ({ ...counts }),
  };
}

const NO_SERVERS: ReadonlySet<string> = new Set();

interface Placement {
  readonly task: LiveTask;
  readonly worker: Worker;
}

interface Plan {
  readonly placements: readonly Placement[];
  /** Core-milliseconds for which there is no room. */
  readonly workLeft: number;
}

interface UnsureRun {
  readonly claim: Claim;
  readonly overAt: number;
}

/** Part of the servers that count as at least as fast as a sound one. */
const SOUND_QUANTILE = 0.3;

/** A job taken while stopping may take this much longer than foretold. */
const STOP_FACTOR = 2;

/** When a caller that was refused late may come back. */
const LATE_RETRY_MS = 1000;
