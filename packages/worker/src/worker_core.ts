/**
 * A side's decisions: which offered runs start, how long they keep their lease,
 * and what their owners are told. It is the only caller of its backend server,
 * so its own books decide whether there is room.
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
import type { ListOrder, ListReply, StartReply, StopReply } from "./calls.ts";
import { createClaims } from "./claims.ts";
import type { OwnerId, WorkerDecision, WorkerEffect } from "./effect.ts";
import { createLists, type PendingList, serverClock } from "./lists.ts";
import { createOwners } from "./owners.ts";
import { isSameReport, reportOf } from "./report.ts";
import { createRuns, type Run } from "./runs.ts";
import { adopt, type CurrentLife, isSameLife, lifeOf } from "./server_life.ts";
import { createSlowness } from "./slowness.ts";
import { createSuspicion } from "./suspicion.ts";

/** Entries are told of changed room at most this often. */
const REPORT_MS = 50;

/** With many entries, more rarely: at most 50 reports a second in all. */
const REPORT_MS_PER_ENTRY = 20;

/** Longest time between frames to an entry that has no runs here. */
const IDLE_HEARTBEAT_MS = 1000;

/** An entry without runs here that was not heard for this long is given up. */
const IDLE_OWNER_LOST_MS = 3000;

/** Time for entries to claim runs that a new side process has found. */
const FOUND_CLAIM_MS = 200;

/** Time to read what came while the process stood still. */
const STALE_INPUT_MS = 50;

/** Raises a token that is too low by so much; a life's clock may run for days. */
const TOKEN_FACTOR = 16;

const STOP_RETRY_MS = 150;

/** Without an answer for this long the server gets no new runs. */
const UNREACHABLE_MS = 400;

/** A run whose progress stands still for this long is reported... */
const STALL_MS = 250;

/** ...or for this share of its declared time, whichever is longer. */
const STALL_SHARE = 0.35;

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
  listReplied(order: ListOrder, reply: ListReply, now: number): void;
  /** Takes no more offers, as before the process ends. */
  close(): void;
  /** Runs that may hold room. */
  runs(): number;
  /** True while some entry has not heard the newest report of the server. */
  hasUnsentReport(): boolean;
  tick(now: number): void;
  /**
   * The process stood still. What it reads next may come from entries that have
   * given it up meanwhile, and repeated its runs elsewhere.
   */
  suspended(now: number): void;
  /** What is to be done since the last call. */
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
    reportMs: REPORT_MS,
    reportMsPerOwner: REPORT_MS_PER_ENTRY,
    heartbeatMs: timing.heartbeatMs,
    idleHeartbeatMs: IDLE_HEARTBEAT_MS,
  });
  const runs = createRuns();
  const { leaseMs } = timing;
  const lists = createLists(leaseMs);
  const claims = createClaims();
  const slowness = createSlowness();
  const suspicion = createSuspicion();
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
  let current: CurrentLife | undefined;
  /** The life before, while it is over. */
  let previous: CurrentLife | undefined;
  let candidate: Announcement | undefined;
  let isClosed = false;
  let tickedAt = 0;
  let report: ServerReport | undefined;
  let staleInputUntil = 0;

  function log(decision: WorkerDecision): void {
    const server = current?.life.id;
    effects.push({ kind: "log", decision: { server, ...decision } });
  }

  function logRun(message: string, run: Run, reason?: string): void {
    const { ref, owner } = run;
    const entry = owner === undefined ? undefined : owners.nameOf(owner);
    log({ message, job: ref.task.job, run: ref.run, reason, entry });
  }

  function tell(owner: OwnerId | undefined, news: RunUpdate): void {
    if (owner !== undefined) owners.tell(owner, news);
  }

  // --- The server's life ---

  function announced(announcement: Announcement): void {
    const life = lifeOf(announcement);
    if (current !== undefined && isSameLife(current.life, life)) {
      updateAnnouncement(current, announcement);
      return;
    }
    candidate = announcement;
    if (!lists.isPending()) sendProbe(announcement);
  }

  function updateAnnouncement(life: CurrentLife, next: Announcement): void {
    const before = life.announcement;
    if (next.sequence <= before.sequence) return;
    life.announcement = next;
    if (next.isDraining === before.isDraining) return;
    log({
      message: next.isDraining ? "server drains" : "server is back from drain",
      figures: { remainingMs: next.remainingMs },
    });
  }

  function left(id: string): void {
    if (candidate?.id === id) candidate = undefined;
    if (current?.life.id !== id) return;
    log({ message: "server left" });
    endLife("server left");
  }

  /** The life has ended, and so have its runs. */
  function endLife(reason: string): void {
    forgetLife();
    for (const run of runs.all()) lose(run, reason);
  }

  function forgetLife(): void {
    if (current === undefined) return;
    previous = current;
    current = undefined;
    lists.forget();
    slowness.reset();
    suspicion.reset();
  }

  /**
   * The server has started again, perhaps under the same id: orders that were
   * meant for the life before may have reached the new one.
   */
  function suspectRuns(): void {
    for (const run of runs.all()) {
      run.state = "stopping";
      run.isBarred = false;
      logRun("run may be on the next life", run);
    }
  }

  function startLife(announcement: Announcement, clockMs: number, now: number) {
    const before = current ?? previous;
    const isSameId = before?.life.id === announcement.id;
    if (isSameId) suspectRuns();
    else endLife("server replaced");
    forgetLife();
    const life = adopt(announcement, clockMs, now);
    if (isSameId) {
      life.fencingToken = Math.max(life.fencingToken, before.fencingToken + 1);
    }
    current = life;
    for (const run of runs.all()) sendStop(life, run, now);
  }

  function sendProbe(announcement: Announcement): void {
    effects.push({ kind: "list", order: lists.probe(announcement) });
  }

  function probeReplied(reply: ListReply, now: number): void {
    const announcement = candidate;
    if (announcement === undefined) return;
    const isAlive = reply.kind === "fenced" ||
      (reply.kind === "listed" && reply.born === announcement.born);
    if (!isAlive) {
      // The next announcement asks again.
      candidate = undefined;
      log({ message: "announced server does not answer", reason: reply.kind });
      return;
    }
    candidate = undefined;
    startLife(announcement, reply.clockMs, now);
    log({
      message: "server joined",
      figures: { born: announcement.born, fence: current?.fencingToken ?? 0 },
    });
    sendList(now);
  }

  // --- Lists and leases ---

  function sendList(now: number): void {
    if (current === undefined || lists.isPending()) return;
    const need = {
      hasRuns: runs.count() > 0,
      isStopping: runs.all().some((run) => run.state === "stopping"),
    };
    effects.push({ kind: "list", order: lists.next(current, need, now) });
  }

  function listReplied(order: ListOrder, reply: ListReply, now: number): void {
    const pending = lists.answered(order);
    if (pending === undefined) return;
    if (pending.isProbe) probeReplied(reply, now);
    else if (current !== undefined) takeReply(current, reply, pending, now);
    if (candidate !== undefined && !lists.isPending()) sendProbe(candidate);
  }

  function takeReply(
    life: CurrentLife,
    reply: ListReply,
    pending: PendingList,
    now: number,
  ): void {
    const isHeard = reply.kind !== "absent" && reply.kind !== "unanswered";
    if (isHeard) lists.noteHeard();
    switch (reply.kind) {
      case "listed":
        if (reply.born === life.life.born) takeList(life, reply, pending, now);
        else expectNextLife();
        return;
      case "fenced":
        // Another process of this side has given orders since, or an order to
        // the life before has reached this one.
        life.fencingToken = Math.max(
          life.fencingToken * TOKEN_FACTOR,
          Math.floor(reply.clockMs),
        );
        log({ message: "token raised", reason: "fenced" });
        return;
      case "otherLife":
        restartLife(reply.kind);
        return;
      case "absent":
        if (lists.noteAbsent()) restartLife(reply.kind);
        return;
      case "unanswered":
        noteLost(now);
        return;
    }
  }

  function noteLost(now: number): void {
    const wasDown = lists.isDown();
    lists.noteLost(now);
    if (lists.isDown() && !wasDown) log({ message: "server does not answer" });
    sendDueList(now);
  }

  /** Another life has answered under the same id; it announces itself soon. */
  function expectNextLife(): void {
    log({ message: "server has started again" });
    suspectRuns();
    forgetLife();
  }

  function restartLife(reason: string): void {
    log({ message: "server is gone", reason });
    endLife(reason);
  }

  function takeList(
    life: CurrentLife,
    reply: Extract<ListReply, { kind: "listed" }>,
    pending: PendingList,
    now: number,
  ): void {
    life.clockOffsetMs = reply.clockMs - now;
    life.answeredAt = now;
    const listed = new Set<Run>();
    for (const row of reply.running) {
      const run = runs.find(row.ref) ?? addFound(row.ref, now);
      listed.add(run);
      noteProgress(run, row.percent, now);
    }
    for (const row of reply.ends) {
      if (row.number <= life.observed) continue;
      life.observed = row.number;
      const run = runs.find(row.ref);
      if (run !== undefined) finish(run, row.end, now);
    }
    for (const run of runs.all()) {
      if (!listed.has(run)) checkMissing(run, pending.number, now);
    }
    life.isListed = true;
    answerWaitingClaims(now);
    if (runs.count() > 0) sendList(now);
  }

  /** A run of an earlier process, or one whose order came late. */
  function addFound(ref: RunRef, now: number): Run {
    const run: Run = {
      ref,
      owner: undefined,
      resources: undefined,
      estimateMs: 0,
      claimableUntil: now + FOUND_CLAIM_MS,
      state: "running",
      isBarred: false,
      orderedAt: now,
      shownAfter: lists.latest(),
      startedAt: now,
      percent: 0,
      progressAt: now,
      isStalled: false,
    };
    runs.add(run);
    // Whoever started it may just have renewed its lease.
    lists.extendLease(now);
    logRun("run found", run);
    return run;
  }

  function checkMissing(run: Run, list: number, now: number): void {
    if (list <= run.shownAfter) return;
    if (run.state === "running") lose(run, "not listed");
    else if (run.state === "stopping" && run.isBarred) {
      finish(run, "stopped", now);
    }
  }

  function noteProgress(run: Run, percent: number, now: number): void {
    if (percent !== run.percent) {
      run.percent = percent;
      run.progressAt = now;
      return;
    }
    if (run.state !== "running" || run.isStalled) return;
    const stallMs = Math.max(
      STALL_MS,
      run.estimateMs * slowness.value() * STALL_SHARE,
    );
    if (now - run.progressAt < stallMs) return;
    run.isStalled = true;
    suspicion.stalled(now);
    logRun("run stalled", run);
    tell(run.owner, { kind: "stalled", ref: run.ref });
  }

  // --- Runs ---

  function finish(run: Run, end: RunOutcome, now: number): void {
    runs.remove(run);
    const ms = now - run.startedAt;
    if (end === "done") {
      counts.done += 1;
      slowness.ended(ms, run.estimateMs);
      suspicion.succeeded();
    } else if (end === "failed") {
      counts.failed += 1;
      suspicion.failed(now);
      logRun("run failed", run);
    } else {
      counts.stopped += 1;
    }
    settle(run, { kind: "ended", ref: run.ref, end, ms });
  }

  function lose(run: Run, reason: string): void {
    runs.remove(run);
    counts.lost += 1;
    logRun("run lost", run, reason);
    settle(run, { kind: "lost", ref: run.ref, reason });
  }

  /** Tells the owner, which may claim the run later if its stream breaks now. */
  function settle(run: Run, news: RunUpdate): void {
    tell(run.owner, news);
    claims.remember(news);
  }

  function refuse(owner: OwnerId, offer: Offer, reason: RefusalReason): void {
    counts.refused += 1;
    tell(owner, {
      kind: "refused",
      ref: { task: offer.task, run: offer.run },
      reason,
      highestRun: runs.highest(offer.task),
    });
  }

  function takeOffer(owner: OwnerId, offer: Offer, now: number): void {
    counts.offered += 1;
    const reason = whyNot(offer, now);
    if (reason !== undefined || current === undefined) {
      refuse(owner, offer, reason ?? "closed");
      return;
    }
    const run: Run = {
      ref: { task: offer.task, run: offer.run },
      owner,
      resources: offer.resources,
      estimateMs: offer.estimateMs,
      claimableUntil: 0,
      state: "starting",
      isBarred: false,
      orderedAt: now,
      shownAfter: 0,
      startedAt: now,
      percent: -1,
      progressAt: now,
      isStalled: false,
    };
    // The server is not asked anything while it runs nothing.
    if (runs.count() === 0) current.answeredAt = now;
    runs.add(run);
    if (suspicion.isSuspect()) suspicion.tried(now);
    const untilMs = serverClock(current, now) + leaseMs;
    lists.extendLease(now);
    effects.push({
      kind: "start",
      order: {
        server: current.life,
        ref: run.ref,
        payload: offer.payload,
        untilMs,
        fencingToken: current.fencingToken,
      },
    });
  }

  function whyNot(offer: Offer, now: number): RefusalReason | undefined {
    if (current === undefined || !isOpen(current, now)) return "closed";
    if (now < staleInputUntil) return "closed";
    const { life } = current;
    if (offer.server !== life.id || offer.born !== life.born) {
      return "otherServer";
    }
    if (runs.highest(offer.task) >= offer.run) return "superseded";
    if (!fits(offer.resources, room(current))) return "noRoom";
    if (!suspicion.isSuspect()) return undefined;
    return runs.count() === 0 && suspicion.mayTry(now) ? undefined : "suspect";
  }

  function isOpen(life: CurrentLife, now: number): boolean {
    if (isClosed || life.announcement.isDraining) return false;
    if (!life.isListed || lists.isDown()) return false;
    return runs.count() === 0 || now - life.answeredAt < UNREACHABLE_MS;
  }

  function room(life: CurrentLife): Resources {
    if (runs.hasUnsized()) return NO_RESOURCES;
    return subtractResources(life.announcement.capacity, runs.used());
  }

  function startReplied(ref: RunRef, reply: StartReply, now: number): void {
    const run = runs.find(ref);
    if (run === undefined || current === undefined) return;
    switch (reply.kind) {
      case "started":
        confirmStart(run, now);
        current.answeredAt = now;
        sendList(now);
        return;
      case "refused":
        startRefused(run, reply.reason, now);
        return;
      case "unanswered":
        logRun("start unanswered", run);
        beginStop(run, now);
    }
  }

  function confirmStart(run: Run, now: number): void {
    counts.started += 1;
    run.shownAfter = lists.latest();
    if (run.state !== "starting") return;
    run.state = "running";
    run.startedAt = now;
    run.progressAt = now;
  }

  function startRefused(
    run: Run,
    reason: Extract<StartReply, { kind: "refused" }>["reason"],
    now: number,
  ): void {
    runs.remove(run);
    logRun("start refused", run, reason);
    if (reason === "unhealthy") suspicion.failed(now);
    counts.refused += 1;
    tell(run.owner, {
      kind: "refused",
      ref: run.ref,
      reason: REFUSAL_BY_REPLY[reason],
      highestRun: run.ref.run,
    });
  }

  function beginStop(run: Run, now: number): void {
    if (run.state === "stopping" || current === undefined) return;
    run.state = "stopping";
    sendStop(current, run, now);
  }

  function sendStop(life: CurrentLife, run: Run, now: number): void {
    run.orderedAt = now;
    effects.push({
      kind: "stop",
      order: {
        server: life.life,
        ref: run.ref,
        fencingToken: life.fencingToken,
      },
    });
  }

  function stopReplied(ref: RunRef, reply: StopReply, now: number): void {
    const run = runs.find(ref);
    if (run === undefined || !reply.isBarred) return;
    run.isBarred = true;
    run.shownAfter = lists.latest();
    sendList(now);
  }

  // --- Owners ---

  function ownerSent(owner: OwnerId, frame: DispatchFrame, now: number): void {
    if (!owners.has(owner)) return;
    owners.heard(owner, frame.sequence, now);
    if (frame.entry !== undefined) owners.named(owner, frame.entry);
    for (const claim of frame.claims ?? []) takeClaim(owner, claim, now);
    for (const ref of frame.stops) takeStop(owner, ref, now);
    for (const offer of frame.offers) takeOffer(owner, offer, now);
  }

  /** What runs here is known from the first list on. */
  function takeClaim(owner: OwnerId, claim: Claim, now: number): void {
    if (current?.isListed) answerClaim(owner, claim, now);
    else claims.wait({ owner, claim });
  }

  function answerWaitingClaims(now: number): void {
    for (const { owner, claim } of claims.takeWaiting()) {
      if (owners.has(owner)) answerClaim(owner, claim, now);
    }
  }

  function answerClaim(owner: OwnerId, claim: Claim, now: number): void {
    const run = runs.find(claim.ref);
    if (run !== undefined && run.owner === undefined) {
      run.owner = owner;
      run.resources ??= claim.resources;
      run.estimateMs = claim.estimateMs;
      logRun("run claimed", run);
      if (run.state === "stopping") return;
      run.progressAt = now;
      return;
    }
    const known = claims.recall(claim.ref);
    tell(owner, known ?? { kind: "lost", ref: claim.ref, reason: "not here" });
  }

  function takeStop(owner: OwnerId, ref: RunRef, now: number): void {
    const run = runs.find(ref);
    if (run === undefined || run.owner !== owner) {
      tell(owner, { kind: "lost", ref, reason: "unknown run" });
      return;
    }
    beginStop(run, now);
  }

  function dropOwner(
    owner: OwnerId,
    reason: "silent" | "stream closed",
    now: number,
  ): void {
    if (!owners.has(owner)) return;
    const entry = owners.nameOf(owner);
    // A silent entry has used up its time already.
    const reclaimMs = reason === "silent" ? 0 : timing.reclaimMs;
    owners.close(owner);
    withdrawStarts(owner);
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

  /** Takes back the orders of this turn that nobody wants any more. */
  function withdrawStarts(owner: OwnerId): void {
    effects = effects.filter((effect) => {
      if (effect.kind !== "start") return true;
      const run = runs.find(effect.order.ref);
      if (run?.owner !== owner) return true;
      run.owner = undefined;
      lose(run, "not started");
      return false;
    });
  }

  function stopUnclaimed(now: number): void {
    for (const run of runs.all()) {
      const isUnclaimed = run.owner === undefined && run.state !== "stopping";
      if (!isUnclaimed || now < run.claimableUntil) continue;
      logRun("stop", run, "no owner");
      beginStop(run, now);
    }
  }

  // --- Time ---

  function tick(now: number): void {
    const wasPaused = now - tickedAt > timing.pauseThresholdMs;
    tickedAt = now;
    owners.setBusy(busyOwners());
    if (!wasPaused) dropSilentOwners(now);
    stopUnclaimed(now);
    if (runs.count() > 0 && lists.isLeaseOver(now)) expireLease();
    if (current === undefined) return;
    retryStops(current, now);
    sendDueList(now);
  }

  /** What runs is listed all the time; so is a server that seems to be down. */
  function sendDueList(now: number): void {
    const isWanted = runs.count() > 0 || lists.isDown();
    if (isWanted && lists.isDue(now)) sendList(now);
  }

  function busyOwners(): ReadonlySet<OwnerId> {
    const busy = new Set<OwnerId>();
    for (const { owner } of runs.all()) {
      if (owner !== undefined) busy.add(owner);
    }
    return busy;
  }

  function dropSilentOwners(now: number): void {
    const limits = { busyMs: timing.entryLostMs, idleMs: IDLE_OWNER_LOST_MS };
    for (const owner of owners.silent(limits, now)) {
      dropOwner(owner, "silent", now);
      effects.push({ kind: "close", owner });
    }
  }

  /** Nothing has renewed the lease: whatever ran has been ended by it. */
  function expireLease(): void {
    log({ message: "lease ran out", figures: { runs: runs.count() } });
    for (const run of runs.all()) lose(run, "lease ran out");
  }

  function retryStops(life: CurrentLife, now: number): void {
    for (const run of runs.all()) {
      if (run.state !== "stopping" || run.isBarred) continue;
      if (now - run.orderedAt >= STOP_RETRY_MS) sendStop(life, run, now);
    }
  }

  /** Keeps the object while its content is the same, so that it is sent once. */
  function refreshReport(now: number): void {
    const next = current && reportOf(current, {
      room: room(current),
      isOpen: isOpen(current, now),
      slowness: slowness.value(),
      isSuspect: suspicion.isSuspect(),
    });
    if (!isSameReport(next, report)) report = next;
  }

  return {
    announced,
    left,
    ownerOpened: (owner, now) => owners.open(owner, now),
    ownerSent,
    ownerClosed: (owner, now) => dropOwner(owner, "stream closed", now),
    startReplied,
    stopReplied,
    listReplied,
    close() {
      isClosed = true;
    },
    runs: () => runs.count(),
    hasUnsentReport: () => owners.isUnheard(report),
    tick,
    suspended(now) {
      staleInputUntil = now + STALE_INPUT_MS;
      log({ message: "process stood still" });
    },
    takeEffects(now) {
      refreshReport(now);
      for (const { owner, frame } of owners.takeDue(report, now)) {
        effects.push({ kind: "send", owner, frame });
      }
      const taken = effects;
      effects = [];
      return taken;
    },
    counts: () => ({ ...counts }),
  };
}

const REFUSAL_BY_REPLY = {
  fence: "closed",
  old: "superseded",
  late: "closed",
  room: "noRoom",
  unhealthy: "suspect",
  other: "otherServer",
} as const satisfies Record<string, RefusalReason>;
