/**
 * Decides which offered runs start on the server. The side is the only client of
 * its server, so it admits runs against its own accounting of the capacity.
 */
import {
  fits,
  NO_RESOURCES,
  type Offer,
  type RefusalReason,
  type Resources,
  type RunRef,
  subtractResources,
} from "@coltsfootreach/run";
import type { StartReply } from "./calls.ts";
import type { OwnerId } from "./effect.ts";
import type { ListRequests } from "./list_requests.ts";
import type { RunOutcomes } from "./run_outcomes.ts";
import type { Stops } from "./stops.ts";
import type { Run } from "./runs.ts";
import type { ServerState } from "./server_state.ts";
import type { WorkerState } from "./worker_state.ts";

/** A shorter lease may end before its first renewal. */
const MIN_START_LEASE_MS = 250;

/** Time without a reply after which a server with runs gets no new ones. */
const UNREACHABLE_AFTER_MS = 400;

const REFUSAL_REASON_BY_REPLY = {
  fence: "closed",
  old: "superseded",
  late: "closed",
  room: "noRoom",
  unhealthy: "suspect",
  other: "otherServer",
} as const satisfies Record<string, RefusalReason>;

export interface OffersOptions {
  readonly requests: ListRequests;
  readonly outcomes: RunOutcomes;
  readonly stops: Stops;
}

export interface Offers {
  handleOffer(owner: OwnerId, offer: Offer, now: number): void;
  startReplied(ref: RunRef, reply: StartReply, now: number): void;
  /** Whether the server may get new runs at all. */
  isAcceptingRuns(server: ServerState, now: number): boolean;
  computeFreeCapacity(server: ServerState): Resources;
}

export function createOffers(
  state: WorkerState,
  { requests, outcomes, stops }: OffersOptions,
): Offers {
  const { circuitBreaker, counts, leaseLimit, listPoller, owners, runs } =
    state;
  const { sendList } = requests;
  const { notify } = outcomes;
  const { beginStop } = stops;

  function handleOffer(owner: OwnerId, offer: Offer, now: number): void {
    counts.offered += 1;
    const reason = findRefusalReason(owner, offer, now);
    if (reason !== undefined || state.current === undefined) {
      refuseOffer(owner, offer, reason ?? "closed");
      return;
    }
    const run: Run = {
      ref: { task: offer.task, run: offer.run },
      owner,
      resources: offer.resources,
      estimateMs: offer.estimateMs,
      claimableUntil: 0,
      endBy: Infinity,
      state: "starting",
      isStopConfirmed: false,
      lastRequestAt: now,
      visibleAfterList: 0,
      startedAt: now,
      percent: -1,
      lastProgressAt: now,
      isStalled: false,
      lastSeenAt: now,
    };
    // The server is not polled while it has no runs.
    if (runs.count() === 0) state.current.lastReplyAt = now;
    runs.add(run);
    if (circuitBreaker.isSuspect()) circuitBreaker.trialStarted(now);
    listPoller.extendLease(now);
    state.emit({
      kind: "start",
      request: {
        server: state.current.instance,
        ref: run.ref,
        payload: offer.payload,
        untilMs: listPoller.leaseEnd(state.current, now),
        fencingToken: state.fencingToken.value(),
      },
    });
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

  function findRefusalReason(
    owner: OwnerId,
    offer: Offer,
    now: number,
  ): RefusalReason | undefined {
    if (state.current === undefined || !isAcceptingRuns(state.current, now)) {
      return "closed";
    }
    const isStale = now < state.staleInputUntil || owners.isStale(owner, now);
    if (isStale) return "closed";
    const { instance } = state.current;
    if (offer.server !== instance.id || offer.born !== instance.born) {
      return "otherServer";
    }
    if (runs.highestRunOf(offer.task) >= offer.run) return "superseded";
    // Another entry may have the job now, while its earlier run is not over.
    if (runs.findByTask(offer.task) !== undefined) return "superseded";
    if (!fits(offer.resources, computeFreeCapacity(state.current))) {
      return "noRoom";
    }
    if (!circuitBreaker.isSuspect()) return undefined;
    return runs.count() === 0 && circuitBreaker.isTrialDue(now)
      ? undefined
      : "suspect";
  }

  function isAcceptingRuns(server: ServerState, now: number): boolean {
    if (state.isClosed || server.isLeaving) return false;
    if (server.announcement.isDraining) return false;
    if (!server.hasRunList || listPoller.isDown()) return false;
    if (leaseLimit.leaseMs(now) < MIN_START_LEASE_MS) return false;
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
    if (run === undefined || state.current === undefined) return;
    switch (reply.kind) {
      case "started":
        confirmStart(run, now);
        state.current.lastReplyAt = now;
        sendList(now);
        return;
      case "refused":
        handleStartRefusal(run, reply.reason, now);
        return;
      case "unanswered":
        state.logRun("start request got no answer; stopping the run", run);
        beginStop(run, now);
    }
  }

  function confirmStart(run: Run, now: number): void {
    counts.started += 1;
    run.visibleAfterList = listPoller.latestNumber();
    run.lastSeenAt = now;
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
    state.logRun("backend server refused to start the run", run, { reason });
    if (reason === "unhealthy") circuitBreaker.failed(now);
    // The next list finds out that the token is too low, and raises it.
    if (reason === "fence") sendList(now);
    counts.refused += 1;
    notify(run.owner, {
      kind: "refused",
      ref: run.ref,
      reason: REFUSAL_REASON_BY_REPLY[reason],
      highestRun: run.ref.run,
    });
  }

  return { handleOffer, startReplied, isAcceptingRuns, computeFreeCapacity };
}
