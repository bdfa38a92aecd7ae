/**
 * Decides which offered runs start on the side's backend server, renews their
 * leases and reports their outcomes to the entries that own them.
 */
import {
  type Announcement,
  type DispatchFrame,
  type RunRef,
  type ServerReport,
  STALE_INPUT_WINDOW_MS,
} from "@coltsfootreach/run";
import type { ListReply, ListRequest, StartReply, StopReply } from "./calls.ts";
import type { OwnerId, WorkerEffect } from "./effect.ts";
import { createInstances } from "./instances.ts";
import { createListReplies } from "./list_replies.ts";
import { createListRequests } from "./list_requests.ts";
import { createOffers } from "./offers.ts";
import { createOwnership } from "./ownership.ts";
import { areReportsEqual, createReport } from "./report.ts";
import { createRunOutcomes } from "./run_outcomes.ts";
import { createRunReconciliation } from "./run_reconciliation.ts";
import { createStops } from "./stops.ts";
import {
  createWorkerState,
  type WorkerOptions,
  type WorkerTotals,
} from "./worker_state.ts";

export interface WorkerCore {
  announced(announcement: Announcement): void;
  left(id: string, now: number): void;
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
  /** True while a server has been announced but does not accept runs yet. */
  isServerJoining(): boolean;
  tick(now: number): void;
  /**
   * Input that is read now arrived while the process was paused. It may come from
   * entries that have since considered this side lost and restarted its runs.
   */
  pauseDetected(now: number): void;
  /** Returns the effects that have accumulated since the last call. */
  takeEffects(now: number): readonly WorkerEffect[];
  counts(): WorkerCounts;
}

export type WorkerCounts = Readonly<WorkerTotals>;

export function createWorkerCore(options: WorkerOptions): WorkerCore {
  const state = createWorkerState(options);
  const { timing, owners, runs, listPoller } = state;
  const requests = createListRequests(state);
  const outcomes = createRunOutcomes(state);
  const stops = createStops(state, { ...requests, ...outcomes });
  const ownership = createOwnership(state, { outcomes, stops });
  const offers = createOffers(state, { requests, outcomes, stops });
  const instances = createInstances(state, { requests, outcomes, stops });
  const reconciliation = createRunReconciliation(state, {
    requests,
    outcomes,
    ownership,
  });
  const listReplies = createListReplies(state, {
    requests,
    instances,
    reconciliation,
  });
  let lastTickAt = 0;
  let report: ServerReport | undefined;

  function ownerSent(owner: OwnerId, frame: DispatchFrame, now: number): void {
    if (!owners.has(owner)) return;
    owners.frameReceived(owner, frame.sequence, now);
    if (frame.entry !== undefined) owners.setEntryName(owner, frame.entry);
    for (const claim of frame.claims ?? []) {
      ownership.handleClaim(owner, claim, now);
    }
    for (const ref of frame.stops) stops.handleStop(owner, ref, now);
    for (const offer of frame.offers) offers.handleOffer(owner, offer, now);
  }

  function tick(now: number): void {
    const wasPaused = now - lastTickAt > timing.pauseThresholdMs;
    lastTickAt = now;
    owners.setBusyOwners(ownership.busyOwners());
    if (!wasPaused) ownership.removeSilentOwners(now);
    ownership.stopUnclaimedRuns(now);
    if (runs.count() > 0 && listPoller.isLeaseExpired(now)) {
      expireLease(now);
    }
    instances.releaseLeavingServer();
    instances.probeCandidate();
    if (state.current === undefined) return;
    stops.retryStops(state.current, now);
    requests.sendDueList(now);
  }

  /** The lease was not renewed in time, so the server has ended all runs. */
  function expireLease(now: number): void {
    const clockAgeMs = state.current?.clock.ageMs(now);
    state.log({
      message: "lease expired; all runs are lost",
      figures: {
        runs: runs.count(),
        ...(clockAgeMs !== undefined && { clockAgeMs: Math.round(clockAgeMs) }),
      },
    });
    for (const run of runs.all()) {
      outcomes.loseRun(run, "lease ran out", now);
    }
  }

  /** Keeps the same object while its content is equal, so that it is sent once. */
  function refreshReport(now: number): void {
    const { current } = state;
    const nextReport = current && createReport(current, {
      room: offers.computeFreeCapacity(current),
      isOpen: offers.isAcceptingRuns(current, now),
      slowness: state.slownessEstimator.value(),
      isSuspect: state.circuitBreaker.isSuspect(),
    });
    if (!areReportsEqual(nextReport, report)) report = nextReport;
  }

  return {
    announced: instances.announced,
    left: instances.left,
    ownerOpened: (owner, now) => owners.open(owner, now),
    ownerSent,
    ownerClosed: (owner, now) =>
      ownership.removeOwner(owner, "stream closed", now),
    startReplied: offers.startReplied,
    stopReplied: stops.stopReplied,
    listReplied: listReplies.listReplied,
    close() {
      state.isClosed = true;
    },
    runs: () => runs.count(),
    isServerJoining: instances.isJoining,
    hasUnsentReport: () => owners.isReportPending(report),
    tick,
    pauseDetected(now) {
      const isKnown = now < state.staleInputUntil;
      state.staleInputUntil = now + STALE_INPUT_WINDOW_MS;
      if (isKnown) return;
      state.log({
        message: "process was paused; refusing offers that may be stale",
      });
    },
    takeEffects(now) {
      refreshReport(now);
      for (const { owner, frame } of owners.takeDueFrames(report, now)) {
        state.emit({ kind: "send", owner, frame });
      }
      return state.takeEffects();
    },
    counts: () => ({ ...state.counts }),
  };
}
