/**
 * Decides which offered runs start on the side's backend server, renews their
 * leases and reports their outcomes to the entries that own them. The side is the
 * only client of its backend server, so it admits runs against its own accounting
 * of the free capacity.
 */
import {
  type Announcement,
  type Claim,
  type DispatchFrame,
  fits,
  NO_RESOURCES,
  type Offer,
  type RefusalReason,
  type Resources,
  type RunOutcome,
  type RunRef,
  type RunUpdate,
  type ServerReport,
  subtractResources,
  type Timing,
} from "@coltsfootreach/run";
import type { ListReply, ListRequest, StartReply, StopReply } from "./calls.ts";
import { createClaims } from "./claims.ts";
import type { OwnerId, WorkerDecision, WorkerEffect } from "./effect.ts";
import {
  createListPoller,
  type PendingList,
  toServerClock,
} from "./list_poller.ts";
import { createOwners } from "./owners.ts";
import { areReportsEqual, createReport } from "./report.ts";
import { createRuns, type Run } from "./runs.ts";
import {
  createServerState,
  isSameInstance,
  type ServerState,
  toInstance,
} from "./server_state.ts";
import { createSlownessEstimator } from "./slowness_estimator.ts";
import { createCircuitBreaker } from "./circuit_breaker.ts";

/** Minimum interval between reports of changed capacity to one entry. */
const MIN_REPORT_INTERVAL_MS = 50;

/** Minimum interval per entry; caps the total at 50 reports a second. */
const MIN_REPORT_INTERVAL_PER_ENTRY_MS = 20;

/** Maximum interval between frames to an entry without runs on this side. */
const IDLE_HEARTBEAT_MS = 1000;

/** Silence after which an entry without runs on this side is considered lost. */
const IDLE_OWNER_TIMEOUT_MS = 3000;

/** Time for entries to claim runs that a new side process discovers. */
const CLAIM_PERIOD_MS = 200;

/** Time to read the input that arrived while the process was paused. */
const STALE_INPUT_WINDOW_MS = 50;

/**
 * Factor by which a fencing token that is too low is raised. An instance's clock
 * may run for days, so small increments would take too many attempts.
 */
const TOKEN_RAISE_FACTOR = 16;

const STOP_RETRY_MS = 150;

/** Time without a reply after which a server with runs gets no new ones. */
const UNREACHABLE_AFTER_MS = 400;

/** Time without progress after which a run is reported as stalled... */
const MIN_STALL_MS = 250;

/** ...or this ratio of its expected run time, if that is longer. */
const STALL_RATIO = 0.35;

export interface WorkerOptions {
  readonly side: string;
  readonly dataCentre: string;
  readonly timing: Timing;
}

export interface WorkerCore {
  announced(announcement: Announcement): void;
  left(id: string): void;
  ownerOpened(owner: OwnerId, now: number): void;
  ownerSent(owner: OwnerId, frame: DispatchFrame, now: number): void;
  ownerClosed(owner: OwnerId, now: number): void;
  startReplied(ref: RunRef, reply: StartReply, now: number): void;
  stopReplied(ref: RunRef, reply: StopReply, now: number): void;
  listReplied(request: ListRequest, reply: ListReply, now: number): void;
  /** Refuses all further offers; called before the process exits. */
  close(): void;
  /** Number of runs that may use capacity on the server. */
  runs(): number;
  /** True while some entry has not been sent the latest server report. */
  hasUnsentReport(): boolean;
  tick(now: number): void;
  /**
   * The process was paused. Input that it reads next may come from entries that
   * have since considered this side lost and restarted its runs elsewhere.
   */
  pauseDetected(now: number): void;
  /** Returns the effects that have accumulated since the last call. */
  takeEffects(now: number): readonly WorkerEffect[];
  counts(): WorkerCounts;
}

export interface WorkerCounts {
  readonly offered: number;
  readonly refused: number;
  readonly started: number;
  readonly done: number;
  readonly failed: number;
  readonly stopped: number;
  readonly lost: number;
}

export function createWorkerCore(options: WorkerOptions): WorkerCore {
  const { timing } = options;
  const owners = createOwners({
    side: options.side,
    dataCentre: options.dataCentre,
    minReportIntervalMs: MIN_REPORT_INTERVAL_MS,
    minReportIntervalPerOwnerMs: MIN_REPORT_INTERVAL_PER_ENTRY_MS,
    heartbeatMs: timing.heartbeatMs,
    idleHeartbeatMs: IDLE_HEARTBEAT_MS,
  });
  const runs = createRuns();
  const { leaseMs } = timing;
  const listPoller = createListPoller(leaseMs);
  const claims = createClaims();
  const slownessEstimator = createSlownessEstimator();
  const circuitBreaker = createCircuitBreaker();
  const counts = {
    offered: 0,
    refused: 0,
    started: 0,
    done: 0,
    failed: 0,
    stopped: 0,
    lost: 0,
  };
  let effects: WorkerEffect[] = [];
  let current: ServerState | undefined;
  /** The previous instance, kept after it has ended. */
  let previous: ServerState | undefined;
  let candidate: Announcement | undefined;
  let isClosed = false;
  let lastTickAt = 0;
  let report: ServerReport | undefined;
  let staleInputUntil = 0;

  function log(decision: WorkerDecision): void {
    const server = current?.instance.id;
    effects.push({ kind: "log", decision: { server, ...decision } });
  }

  function logRun(message: string, run: Run, reason?: string): void {
    const { ref, owner } = run;
    const entry = owner === undefined ? undefined : owners.entryNameOf(owner);
    log({ message, job: ref.task.job, run: ref.run, reason, entry });
  }

  function notify(owner: OwnerId | undefined, update: RunUpdate): void {
    if (owner !== undefined) owners.notify(owner, update);
  }

  // --- Server instance ---

  function announced(announcement: Announcement): void {
    const instance = toInstance(announcement);
    if (current !== undefined && isSameInstance(current.instance, instance)) {
      updateAnnouncement(current, announcement);
      return;
    }
    candidate = announcement;
    if (!listPoller.isPending()) sendProbe(announcement);
  }

  function updateAnnouncement(
    server: ServerState,
    announcement: Announcement,
  ): void {
    const previousAnnouncement = server.announcement;
    if (announcement.sequence <= previousAnnouncement.sequence) return;
    server.announcement = announcement;
    if (announcement.isDraining === previousAnnouncement.isDraining) return;
    log({
      message: announcement.isDraining
        ? "backend server is draining"
        : "backend server is no longer draining",
      figures: { remainingMs: announcement.remainingMs },
    });
  }

  function left(id: string): void {
    if (candidate?.id === id) candidate = undefined;
    if (current?.instance.id !== id) return;
    log({ message: "backend server left" });
    handleInstanceEnd("server left");
  }

  /** The instance has ended, and with it all of its runs. */
  function handleInstanceEnd(reason: string): void {
    clearInstance();
    for (const run of runs.all()) loseRun(run, reason);
  }

  function clearInstance(): void {
    if (current === undefined) return;
    previous = current;
    current = undefined;
    listPoller.instanceEnded();
    slownessEstimator.reset();
    circuitBreaker.reset();
  }

  /**
   * The server has restarted, possibly under the same id: requests that were
   * meant for the previous instance may have reached the new one.
   */
  function markRunsUncertain(): void {
    for (const run of runs.all()) {
      run.state = "stopping";
      run.isStopConfirmed = false;
      logRun(
        "run may have started on the new server instance; stopping it",
        run,
      );
    }
  }

  function adoptInstance(
    announcement: Announcement,
    clockMs: number,
    now: number,
  ) {
    const predecessor = current ?? previous;
    const isSameId = predecessor?.instance.id === announcement.id;
    if (isSameId) markRunsUncertain();
    else handleInstanceEnd("server replaced");
    clearInstance();
    const server = createServerState(announcement, clockMs, now);
    if (isSameId) {
      server.fencingToken = Math.max(
        server.fencingToken,
        predecessor.fencingToken + 1,
      );
    }
    current = server;
    for (const run of runs.all()) sendStop(server, run, now);
  }

  function sendProbe(announcement: Announcement): void {
    effects.push({ kind: "list", request: listPoller.probe(announcement) });
  }

  function probeReplied(reply: ListReply, now: number): void {
    const announcement = candidate;
    if (announcement === undefined) return;
    const isAlive = reply.kind === "fenced" ||
      (reply.kind === "listed" && reply.born === announcement.born);
    if (!isAlive) {
      // The next announcement triggers another probe.
      candidate = undefined;
      log({
        message: "announced backend server instance did not answer the probe",
        reason: reply.kind,
      });
      return;
    }
    candidate = undefined;
    adoptInstance(announcement, reply.clockMs, now);
    log({
      message: "backend server joined",
      figures: { born: announcement.born, fence: current?.fencingToken ?? 0 },
    });
    sendList(now);
  }

  // --- Lists and leases ---

  function sendList(now: number): void {
    if (current === undefined || listPoller.isPending()) return;
    const activity = {
      hasRuns: runs.count() > 0,
      isStopping: runs.all().some((run) => run.state === "stopping"),
    };
    effects.push({
      kind: "list",
      request: listPoller.nextRequest(current, activity, now),
    });
  }

  function listReplied(
    request: ListRequest,
    reply: ListReply,
    now: number,
  ): void {
    const pending = listPoller.answered(request);
    if (pending === undefined) return;
    if (pending.isProbe) probeReplied(reply, now);
    else if (current !== undefined) {
      handleListReply(current, reply, pending, now);
    }
    if (candidate !== undefined && !listPoller.isPending()) {
      sendProbe(candidate);
    }
  }

  function handleListReply(
    server: ServerState,
    reply: ListReply,
    pending: PendingList,
    now: number,
  ): void {
    const hasReplied = reply.kind !== "absent" && reply.kind !== "unanswered";
    if (hasReplied) listPoller.recordReply();
    switch (reply.kind) {
      case "listed":
        if (reply.born === server.instance.born) {
          reconcileRuns(server, reply, pending, now);
        } else handleServerRestart();
        return;
      case "fenced":
        // Another process of this side has sent requests since, or a request to
        // the previous instance has reached this one.
        server.fencingToken = Math.max(
          server.fencingToken * TOKEN_RAISE_FACTOR,
          Math.floor(reply.clockMs),
        );
        log({
          message: "backend server rejected the fencing token; raising it",
          reason: "fenced",
        });
        return;
      case "otherLife":
        handleServerGone(reply.kind);
        return;
      case "absent":
        if (listPoller.recordAbsence()) handleServerGone(reply.kind);
        return;
      case "unanswered":
        handleLostReply(now);
        return;
    }
  }

  function handleLostReply(now: number): void {
    const wasDown = listPoller.isDown();
    listPoller.recordLoss(now);
    if (listPoller.isDown() && !wasDown) {
      log({ message: "backend server does not answer; refusing new runs" });
    }
    sendDueList(now);
  }

  /** Another instance replied under the same id; its announcement follows. */
  function handleServerRestart(): void {
    log({ message: "backend server restarted; waiting for its announcement" });
    markRunsUncertain();
    clearInstance();
  }

  function handleServerGone(reason: string): void {
    log({ message: "backend server is gone; its runs are lost", reason });
    handleInstanceEnd(reason);
  }

  function reconcileRuns(
    server: ServerState,
    reply: Extract<ListReply, { kind: "listed" }>,
    pending: PendingList,
    now: number,
  ): void {
    server.clockOffsetMs = reply.clockMs - now;
    server.lastReplyAt = now;
    const listed = new Set<Run>();
    for (const row of reply.running) {
      const run = runs.find(row.ref) ?? addDiscoveredRun(row.ref, now);
      listed.add(run);
      recordProgress(run, row.percent, now);
    }
    for (const row of reply.ends) {
      if (row.number <= server.observed) continue;
      server.observed = row.number;
      const run = runs.find(row.ref);
      if (run !== undefined) finishRun(run, row.end, now);
    }
    for (const run of runs.all()) {
      if (!listed.has(run)) checkUnlistedRun(run, pending.number, now);
    }
    server.hasRunList = true;
    answerPendingClaims(now);
    if (runs.count() > 0) sendList(now);
  }

  /** Adds a run of an earlier side process, or one that was started late. */
  function addDiscoveredRun(ref: RunRef, now: number): Run {
    const run: Run = {
      ref,
      owner: undefined,
      resources: undefined,
      estimateMs: 0,
      claimableUntil: now + CLAIM_PERIOD_MS,
      state: "running",
      isStopConfirmed: false,
      lastRequestAt: now,
      visibleAfterList: listPoller.latestNumber(),
      startedAt: now,
      percent: 0,
      lastProgressAt: now,
      isStalled: false,
    };
    runs.add(run);
    // The process that started the run may just have renewed its lease.
    listPoller.extendLease(now);
    logRun("unknown run found on the backend server", run);
    return run;
  }

  function checkUnlistedRun(run: Run, list: number, now: number): void {
    if (list <= run.visibleAfterList) return;
    if (run.state === "running") loseRun(run, "not listed");
    else if (run.state === "stopping" && run.isStopConfirmed) {
      finishRun(run, "stopped", now);
    }
  }

  function recordProgress(run: Run, percent: number, now: number): void {
    if (percent !== run.percent) {
      run.percent = percent;
      run.lastProgressAt = now;
      return;
    }
    if (run.state !== "running" || run.isStalled) return;
    const stallMs = Math.max(
      MIN_STALL_MS,
      run.estimateMs * slownessEstimator.value() * STALL_RATIO,
    );
    if (now - run.lastProgressAt < stallMs) return;
    run.isStalled = true;
    circuitBreaker.stalled(now);
    logRun("run makes no progress", run);
    notify(run.owner, { kind: "stalled", ref: run.ref });
  }

  // --- Runs ---

  function finishRun(run: Run, end: RunOutcome, now: number): void {
    runs.remove(run);
    const ms = now - run.startedAt;
    if (end === "done") {
      counts.done += 1;
      slownessEstimator.ended(ms, run.estimateMs);
      circuitBreaker.succeeded();
    } else if (end === "failed") {
      counts.failed += 1;
      circuitBreaker.failed(now);
      logRun("run failed", run);
    } else {
      counts.stopped += 1;
    }
    publishOutcome(run, { kind: "ended", ref: run.ref, end, ms });
  }

  function loseRun(run: Run, reason: string): void {
    runs.remove(run);
    counts.lost += 1;
    logRun("run lost", run, reason);
    publishOutcome(run, { kind: "lost", ref: run.ref, reason });
  }

  /** Notifies the owner, and keeps the outcome in case its stream breaks now. */
  function publishOutcome(run: Run, outcome: RunUpdate): void {
    notify(run.owner, outcome);
    claims.recordOutcome(outcome);
  }

  function refuseOffer(
    owner: OwnerId,
    offer: Offer,
    reason: RefusalReason,
  ): void {
    counts.refused += 1;
    notify(owner, {
      kind: "refused",
      ref: { task: offer.task, run: offer.run },
      reason,
      highestRun: runs.highestRunOf(offer.task),
    });
  }

  function handleOffer(owner: OwnerId, offer: Offer, now: number): void {
    counts.offered += 1;
    const reason = findRefusalReason(offer, now);
    if (reason !== undefined || current === undefined) {
      refuseOffer(owner, offer, reason ?? "closed");
      return;
    }
    const run: Run = {
      ref: { task: offer.task, run: offer.run },
      owner,
      resources: offer.resources,
      estimateMs: offer.estimateMs,
      claimableUntil: 0,
      state: "starting",
      isStopConfirmed: false,
      lastRequestAt: now,
      visibleAfterList: 0,
      startedAt: now,
      percent: -1,
      lastProgressAt: now,
      isStalled: false,
    };
    // The server is not polled while it has no runs.
    if (runs.count() === 0) current.lastReplyAt = now;
    runs.add(run);
    if (circuitBreaker.isSuspect()) circuitBreaker.trialStarted(now);
    const untilMs = toServerClock(current, now) + leaseMs;
    listPoller.extendLease(now);
    effects.push({
      kind: "start",
      request: {
        server: current.instance,
        ref: run.ref,
        payload: offer.payload,
        untilMs,
        fencingToken: current.fencingToken,
      },
    });
  }

  function findRefusalReason(
    offer: Offer,
    now: number,
  ): RefusalReason | undefined {
    if (current === undefined || !isAcceptingRuns(current, now)) {
      return "closed";
    }
    if (now < staleInputUntil) return "closed";
    const { instance } = current;
    if (offer.server !== instance.id || offer.born !== instance.born) {
      return "otherServer";
    }
    if (runs.highestRunOf(offer.task) >= offer.run) return "superseded";
    if (!fits(offer.resources, computeFreeCapacity(current))) return "noRoom";
    if (!circuitBreaker.isSuspect()) return undefined;
    return runs.count() === 0 && circuitBreaker.isTrialDue(now)
      ? undefined
      : "suspect";
  }

  function isAcceptingRuns(server: ServerState, now: number): boolean {
    if (isClosed || server.announcement.isDraining) return false;
    if (!server.hasRunList || listPoller.isDown()) return false;
    return runs.count() === 0 ||
      now - server.lastReplyAt < UNREACHABLE_AFTER_MS;
  }

  function computeFreeCapacity(server: ServerState): Resources {
    if (runs.hasUnknownResources()) return NO_RESOURCES;
    return subtractResources(
      server.announcement.capacity,
      runs.usedResources(),
    );
  }

  function startReplied(ref: RunRef, reply: StartReply, now: number): void {
    const run = runs.find(ref);
    if (run === undefined || current === undefined) return;
    switch (reply.kind) {
      case "started":
        confirmStart(run, now);
        current.lastReplyAt = now;
        sendList(now);
        return;
      case "refused":
        handleStartRefusal(run, reply.reason, now);
        return;
      case "unanswered":
        logRun("start request got no answer; stopping the run", run);
        beginStop(run, now);
    }
  }

  function confirmStart(run: Run, now: number): void {
    counts.started += 1;
    run.visibleAfterList = listPoller.latestNumber();
    if (run.state !== "starting") return;
    run.state = "running";
    run.startedAt = now;
    run.lastProgressAt = now;
  }

  function handleStartRefusal(
    run: Run,
    reason: Extract<StartReply, { kind: "refused" }>["reason"],
    now: number,
  ): void {
    runs.remove(run);
    logRun("backend server refused to start the run", run, reason);
    if (reason === "unhealthy") circuitBreaker.failed(now);
    counts.refused += 1;
    notify(run.owner, {
      kind: "refused",
      ref: run.ref,
      reason: REFUSAL_REASON_BY_REPLY[reason],
      highestRun: run.ref.run,
    });
  }

  function beginStop(run: Run, now: number): void {
    if (run.state === "stopping" || current === undefined) return;
    run.state = "stopping";
    sendStop(current, run, now);
  }

  function sendStop(server: ServerState, run: Run, now: number): void {
    run.lastRequestAt = now;
    effects.push({
      kind: "stop",
      request: {
        server: server.instance,
        ref: run.ref,
        fencingToken: server.fencingToken,
      },
    });
  }

  function stopReplied(ref: RunRef, reply: StopReply, now: number): void {
    const run = runs.find(ref);
    if (run === undefined || !reply.isConfirmed) return;
    run.isStopConfirmed = true;
    run.visibleAfterList = listPoller.latestNumber();
    sendList(now);
  }

  // --- Owners ---

  function ownerSent(owner: OwnerId, frame: DispatchFrame, now: number): void {
    if (!owners.has(owner)) return;
    owners.frameReceived(owner, frame.sequence, now);
    if (frame.entry !== undefined) owners.setEntryName(owner, frame.entry);
    for (const claim of frame.claims ?? []) handleClaim(owner, claim, now);
    for (const ref of frame.stops) handleStop(owner, ref, now);
    for (const offer of frame.offers) handleOffer(owner, offer, now);
  }

  /** Claims can be answered only after the first list of runs has arrived. */
  function handleClaim(owner: OwnerId, claim: Claim, now: number): void {
    if (current?.hasRunList) answerClaim(owner, claim, now);
    else claims.wait({ owner, claim });
  }

  function answerPendingClaims(now: number): void {
    for (const { owner, claim } of claims.takePending()) {
      if (owners.has(owner)) answerClaim(owner, claim, now);
    }
  }

  function answerClaim(owner: OwnerId, claim: Claim, now: number): void {
    const run = runs.find(claim.ref);
    if (run !== undefined && run.owner === undefined) {
      run.owner = owner;
      run.resources ??= claim.resources;
      run.estimateMs = claim.estimateMs;
      logRun("run claimed by entry", run);
      if (run.state === "stopping") return;
      run.lastProgressAt = now;
      return;
    }
    const outcome = claims.findOutcome(claim.ref);
    notify(
      owner,
      outcome ?? { kind: "lost", ref: claim.ref, reason: "not here" },
    );
  }

  function handleStop(owner: OwnerId, ref: RunRef, now: number): void {
    const run = runs.find(ref);
    if (run === undefined || run.owner !== owner) {
      notify(owner, { kind: "lost", ref, reason: "unknown run" });
      return;
    }
    beginStop(run, now);
  }

  function removeOwner(
    owner: OwnerId,
    reason: "silent" | "stream closed",
    now: number,
  ): void {
    if (!owners.has(owner)) return;
    const entry = owners.entryNameOf(owner);
    // The silence timeout already covers the time to reconnect.
    const reclaimMs = reason === "silent" ? 0 : timing.reclaimMs;
    owners.close(owner);
    cancelUnsentStarts(owner);
    const owned = runs.all().filter((run) => run.owner === owner);
    for (const run of owned) {
      run.owner = undefined;
      run.claimableUntil = now + reclaimMs;
    }
    log({
      message: "entry lost",
      entry,
      reason,
      figures: { runs: owned.length, reclaimMs },
    });
  }

  /** Drops start requests of this turn whose owner is gone. */
  function cancelUnsentStarts(owner: OwnerId): void {
    effects = effects.filter((effect) => {
      if (effect.kind !== "start") return true;
      const run = runs.find(effect.request.ref);
      if (run?.owner !== owner) return true;
      run.owner = undefined;
      loseRun(run, "not started");
      return false;
    });
  }

  function stopUnclaimedRuns(now: number): void {
    for (const run of runs.all()) {
      const isUnclaimed = run.owner === undefined && run.state !== "stopping";
      if (!isUnclaimed || now < run.claimableUntil) continue;
      logRun("stop", run, "no owner");
      beginStop(run, now);
    }
  }

  // --- Time ---

  function tick(now: number): void {
    const wasPaused = now - lastTickAt > timing.pauseThresholdMs;
    lastTickAt = now;
    owners.setBusyOwners(busyOwners());
    if (!wasPaused) removeSilentOwners(now);
    stopUnclaimedRuns(now);
    if (runs.count() > 0 && listPoller.isLeaseExpired(now)) expireLease();
    if (current === undefined) return;
    retryStops(current, now);
    sendDueList(now);
  }

  /** Polls a server while it has runs, or while it seems to be down. */
  function sendDueList(now: number): void {
    const isNeeded = runs.count() > 0 || listPoller.isDown();
    if (isNeeded && listPoller.isDue(now)) sendList(now);
  }

  function busyOwners(): ReadonlySet<OwnerId> {
    const busy = new Set<OwnerId>();
    for (const { owner } of runs.all()) {
      if (owner !== undefined) busy.add(owner);
    }
    return busy;
  }

  function removeSilentOwners(now: number): void {
    const timeouts = {
      busyMs: timing.entryLostMs,
      idleMs: IDLE_OWNER_TIMEOUT_MS,
    };
    for (const owner of owners.silent(timeouts, now)) {
      removeOwner(owner, "silent", now);
      effects.push({ kind: "close", owner });
    }
  }

  /** The lease was not renewed in time, so the server has ended all runs. */
  function expireLease(): void {
    log({
      message: "lease expired; all runs are lost",
      figures: { runs: runs.count() },
    });
    for (const run of runs.all()) loseRun(run, "lease ran out");
  }

  function retryStops(server: ServerState, now: number): void {
    for (const run of runs.all()) {
      if (run.state !== "stopping" || run.isStopConfirmed) continue;
      if (now - run.lastRequestAt >= STOP_RETRY_MS) sendStop(server, run, now);
    }
  }

  /** Keeps the same object while its content is equal, so that it is sent once. */
  function refreshReport(now: number): void {
    const nextReport = current && createReport(current, {
      room: computeFreeCapacity(current),
      isOpen: isAcceptingRuns(current, now),
      slowness: slownessEstimator.value(),
      isSuspect: circuitBreaker.isSuspect(),
    });
    if (!areReportsEqual(nextReport, report)) report = nextReport;
  }

  return {
    announced,
    left,
    ownerOpened: (owner, now) => owners.open(owner, now),
    ownerSent,
    ownerClosed: (owner, now) => removeOwner(owner, "stream closed", now),
    startReplied,
    stopReplied,
    listReplied,
    close() {
      isClosed = true;
    },
    runs: () => runs.count(),
    hasUnsentReport: () => owners.isReportPending(report),
    tick,
    pauseDetected(now) {
      staleInputUntil = now + STALE_INPUT_WINDOW_MS;
      log({ message: "process was paused; refusing offers that may be stale" });
    },
    takeEffects(now) {
      refreshReport(now);
      for (const { owner, frame } of owners.takeDueFrames(report, now)) {
        effects.push({ kind: "send", owner, frame });
      }
      const taken = effects;
      effects = [];
      return taken;
    },
    counts: () => ({ ...counts }),
  };
}

const REFUSAL_REASON_BY_REPLY = {
  fence: "closed",
  old: "superseded",
  late: "closed",
  room: "noRoom",
  unhealthy: "suspect",
  other: "otherServer",
} as const satisfies Record<string, RefusalReason>;
