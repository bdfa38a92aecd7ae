/**
 * Polls the backend server for its list of runs. Decides when list requests are
 * sent, how long the server may hold the reply, and until when the lease that
 * they renew can last.
 */
import { type Announcement, MIN_CLOCK_RATE } from "@coltsfootreach/run";
import type { ListRequest } from "./calls.ts";
import type { FencingToken } from "./fencing_token.ts";
import { type ServerState, toInstance } from "./server_state.ts";

/** Maximum wait of a list request for a run to end; also the renewal interval. */
const LONG_POLL_WAIT_MS = 80;

/**
 * Wait after a lost reply. Run ends stay unknown until the next reply arrives, so
 * requests whose replies may be lost too wait only briefly.
 */
const LOSSY_LONG_POLL_WAIT_MS = 20;

/** Time after a lost reply during which more losses are expected. */
const LOSS_WINDOW_MS = 3000;

/** Wait while a run is being stopped, since its end may never be listed. */
const STOPPING_LONG_POLL_WAIT_MS = 40;

/**
 * Minimum interval between list requests if the first was refused or lost.
 * Without it, a server that resets its connections would be polled hundreds of
 * times a second.
 */
const MIN_LIST_INTERVAL_MS = 50;

/** Minimum interval for a server without runs. */
const MIN_IDLE_LIST_INTERVAL_MS = 200;

/**
 * Consecutive lost replies after which the server is considered down. A single
 * lost reply does not indicate an outage.
 */
const LOSSES_UNTIL_DOWN = 2;

/** Allowance for the latency of requests to the server. */
const LEASE_MARGIN_MS = 60;

/** A single refused connection may only mean that the accept queue was full. */
const ABSENCES_UNTIL_GONE = 2;

/** A list request in flight. */
export interface PendingList {
  readonly number: number;
  /** The announced instance whose existence the request checks. */
  readonly probed: Announcement | undefined;
  /** Time at which the lease that it renews is certain to have expired. */
  readonly leaseExpiresAt: number;
}

export interface RunActivity {
  readonly hasRuns: boolean;
  readonly isStopping: boolean;
}

export interface ListPoller {
  /** Number of the last list request that was sent. */
  latestNumber(): number;
  isPending(): boolean;
  isDue(now: number): boolean;
  /** True after several consecutive list requests without a reply. */
  isDown(): boolean;
  /** Checks whether the announced instance answers, and reads its clock. */
  probe(announcement: Announcement): ListRequest;
  nextRequest(
    server: ServerState,
    activity: RunActivity,
    now: number,
  ): ListRequest;
  /** Completes a list request; undefined if the request is obsolete. */
  answered(request: ListRequest): PendingList | undefined;
  /** The server instance has ended; a request in flight becomes obsolete. */
  instanceEnded(): void;
  /** The server replied; resets the counters of losses and refusals. */
  recordReply(): void;
  recordLoss(now: number): void;
  /** The connection was refused; returns true if the server counts as gone. */
  recordAbsence(): boolean;
  /** End of a lease that is requested now, on the server's clock. */
  leaseEnd(server: ServerState, now: number): number;
  /** Accounts for a lease that may just have been granted or renewed. */
  extendLease(now: number): void;
  isLeaseExpired(now: number): boolean;
}

export interface ListPollerOptions {
  /** Duration of a lease that is requested now; 0 or less for none. */
  leaseMs(now: number): number;
  readonly fencingToken: FencingToken;
}

export function createListPoller(options: ListPollerOptions): ListPoller {
  const { leaseMs, fencingToken } = options;
  let pending: PendingList | undefined;
  let latestNumber = 0;
  let nextRequestAt = 0;
  let leaseExpiresAt = 0;
  let lossWindowEndsAt = 0;
  let consecutiveAbsences = 0;
  let consecutiveLosses = 0;

  function computeLeaseExpiry(now: number): number {
    return now + leaseMs(now) / MIN_CLOCK_RATE + LEASE_MARGIN_MS;
  }

  function leaseEnd(server: ServerState, now: number): number {
    return Math.floor(server.clock.lowestMs(now) + leaseMs(now));
  }

  /** No runs can start before the server has listed its runs. */
  function isAwaited(server: ServerState): boolean {
    return !server.hasRunList && consecutiveLosses < LOSSES_UNTIL_DOWN;
  }

  function computeWaitMs(activity: RunActivity, now: number): number {
    if (!activity.hasRuns) return 0;
    if (now < lossWindowEndsAt) return LOSSY_LONG_POLL_WAIT_MS;
    return activity.isStopping ? STOPPING_LONG_POLL_WAIT_MS : LONG_POLL_WAIT_MS;
  }

  return {
    latestNumber: () => latestNumber,
    isPending: () => pending !== undefined,
    isDue: (now) => pending === undefined && now >= nextRequestAt,
    isDown: () => consecutiveLosses >= LOSSES_UNTIL_DOWN,
    probe(announcement) {
      latestNumber += 1;
      pending = {
        number: latestNumber,
        probed: announcement,
        leaseExpiresAt: 0,
      };
      return {
        number: latestNumber,
        server: toInstance(announcement),
        fencingToken: fencingToken.value(),
        observed: 0,
        waitMs: 0,
      };
    },
    nextRequest(server, activity, now) {
      latestNumber += 1;
      // A server that seems to be down gets no renewals, so that its runs are
      // certain to have ended after one lease.
      const isRenewal = activity.hasRuns && leaseMs(now) > 0 &&
        consecutiveLosses < LOSSES_UNTIL_DOWN;
      pending = {
        number: latestNumber,
        probed: undefined,
        leaseExpiresAt: isRenewal ? computeLeaseExpiry(now) : 0,
      };
      const isUrgent = activity.hasRuns || isAwaited(server);
      nextRequestAt = now +
        (isUrgent ? MIN_LIST_INTERVAL_MS : MIN_IDLE_LIST_INTERVAL_MS);
      return {
        number: latestNumber,
        server: server.instance,
        fencingToken: fencingToken.value(),
        observed: server.observed,
        untilMs: isRenewal ? leaseEnd(server, now) : undefined,
        waitMs: computeWaitMs(activity, now),
      };
    },
    answered(request) {
      const answered = pending;
      if (answered?.number !== request.number) return undefined;
      pending = undefined;
      // The server may have renewed the lease even if its reply was lost.
      leaseExpiresAt = Math.max(leaseExpiresAt, answered.leaseExpiresAt);
      return answered;
    },
    instanceEnded() {
      leaseExpiresAt = Math.max(leaseExpiresAt, pending?.leaseExpiresAt ?? 0);
      pending = undefined;
      consecutiveLosses = 0;
    },
    recordReply() {
      consecutiveAbsences = 0;
      consecutiveLosses = 0;
    },
    recordLoss(now) {
      consecutiveLosses += 1;
      lossWindowEndsAt = now + LOSS_WINDOW_MS;
    },
    recordAbsence() {
      consecutiveAbsences += 1;
      if (consecutiveAbsences < ABSENCES_UNTIL_GONE) return false;
      consecutiveAbsences = 0;
      return true;
    },
    leaseEnd,
    extendLease(now) {
      leaseExpiresAt = Math.max(leaseExpiresAt, computeLeaseExpiry(now));
    },
    isLeaseExpired(now) {
      // A renewal in flight may already have taken effect.
      return now > Math.max(leaseExpiresAt, pending?.leaseExpiresAt ?? 0);
    },
  };
}
