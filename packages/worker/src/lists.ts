/**
 * Lists of what runs on the backend server: when they are sent, how long they
 * wait, and the lease that each of them renews.
 */
import type { Announcement } from "@coltsfootreach/run";
import type { ListOrder } from "./calls.ts";
import { type CurrentLife, lifeOf } from "./server_life.ts";

/** Longest wait of a list for an end; also how often leases are renewed. */
const LIST_WAIT_MS = 80;

/**
 * The same after a list got no answer: until the next one answers, no end is
 * heard of, so lists that may be lost are kept short.
 */
const LOSSY_LIST_WAIT_MS = 20;

/** Time after a lost answer for which more are expected to be lost. */
const LOSSY_MS = 3000;

/** The same while a run is being stopped, whose end may never be listed. */
const STOPPING_LIST_WAIT_MS = 40;

/**
 * Least time between lists of which the first was refused or lost: a server
 * that breaks its connections would be asked hundreds of times a second.
 */
const LIST_RETRY_MS = 50;

/** The same for a server that runs nothing. */
const IDLE_LIST_RETRY_MS = 200;

/**
 * A server that left so many lists in a row without an answer is taken for
 * down; a lost answer by itself is no sign of that.
 */
const LOSSES_UNTIL_DOWN = 2;

/** The server's clock may run this much slower than the side's. */
const CLOCK_SLACK = 1.03;

/** Allows for the time that orders take to the server. */
const LEASE_MARGIN_MS = 60;

/** One refused connection may be a full queue of new ones. */
const ABSENCES_UNTIL_GONE = 2;

/** The list that is on its way. */
export interface PendingList {
  readonly number: number;
  /** Asks only whether an announced life answers. */
  readonly isProbe: boolean;
  /** When the lease it renews has run out for certain. */
  readonly leaseOverAt: number;
}

export interface ListNeed {
  readonly hasRuns: boolean;
  readonly isStopping: boolean;
}

export interface Lists {
  /** Number of the list that was sent last. */
  latest(): number;
  isPending(): boolean;
  isDue(now: number): boolean;
  /** True after several lists in a row without an answer. */
  isDown(): boolean;
  /** Looks whether the announced life answers, and what its clock shows. */
  probe(announcement: Announcement): ListOrder;
  next(life: CurrentLife, need: ListNeed, now: number): ListOrder;
  /** Takes the answer to a list; none when it is of no interest any more. */
  answered(order: ListOrder): PendingList | undefined;
  /** The life is over; what is on its way is of no interest. */
  forget(): void;
  /** The server answered, or a list got no answer. */
  noteHeard(): void;
  noteLost(now: number): void;
  /** Nothing listens; true when the server is gone. */
  noteAbsent(): boolean;
  /** A lease may have been renewed just now. */
  extendLease(now: number): void;
  isLeaseOver(now: number): boolean;
}

export function serverClock(life: CurrentLife, now: number): number {
  return Math.floor(now + life.clockOffsetMs);
}

export function createLists(leaseMs: number): Lists {
  let pending: PendingList | undefined;
  let latest = 0;
  let nextAt = 0;
  let leaseOverAt = 0;
  let lossyUntil = 0;
  let absences = 0;
  let losses = 0;

  function leaseEnd(now: number): number {
    return now + leaseMs * CLOCK_SLACK + LEASE_MARGIN_MS;
  }

  function waitFor(need: ListNeed, now: number): number {
    if (!need.hasRuns) return 0;
    if (now < lossyUntil) return LOSSY_LIST_WAIT_MS;
    return need.isStopping ? STOPPING_LIST_WAIT_MS : LIST_WAIT_MS;
  }

  return {
    latest: () => latest,
    isPending: () => pending !== undefined,
    isDue: (now) => pending === undefined && now >= nextAt,
    isDown: () => losses >= LOSSES_UNTIL_DOWN,
    probe(announcement) {
      latest += 1;
      pending = {
        number: latest,
        isProbe: true,
        leaseOverAt: 0,
      };
      return {
        number: latest,
        server: lifeOf(announcement),
        fencingToken: 0,
        observed: 0,
        waitMs: 0,
      };
    },
    next(life, need, now) {
      latest += 1;
      // What is asked of a server that seems to be down renews nothing, so that
      // its runs are over for certain after one lease.
      const isRenewal = need.hasRuns && losses < LOSSES_UNTIL_DOWN;
      pending = {
        number: latest,
        isProbe: false,
        leaseOverAt: isRenewal ? leaseEnd(now) : 0,
      };
      nextAt = now + (need.hasRuns ? LIST_RETRY_MS : IDLE_LIST_RETRY_MS);
      const untilMs = serverClock(life, now) + leaseMs;
      return {
        number: latest,
        server: life.life,
        fencingToken: life.fencingToken,
        observed: life.observed,
        untilMs: isRenewal ? untilMs : undefined,
        waitMs: waitFor(need, now),
      };
    },
    answered(order) {
      const taken = pending;
      if (taken?.number !== order.number) return undefined;
      pending = undefined;
      // A renewal may have taken effect whatever became of its answer.
      leaseOverAt = Math.max(leaseOverAt, taken.leaseOverAt);
      return taken;
    },
    forget() {
      leaseOverAt = Math.max(leaseOverAt, pending?.leaseOverAt ?? 0);
      pending = undefined;
      losses = 0;
    },
    noteHeard() {
      absences = 0;
      losses = 0;
    },
    noteLost(now) {
      losses += 1;
      lossyUntil = now + LOSSY_MS;
    },
    noteAbsent() {
      absences += 1;
      if (absences < ABSENCES_UNTIL_GONE) return false;
      absences = 0;
      return true;
    },
    extendLease(now) {
      leaseOverAt = Math.max(leaseOverAt, leaseEnd(now));
    },
    isLeaseOver(now) {
      // A renewal on its way may have taken effect already.
      return now > Math.max(leaseOverAt, pending?.leaseOverAt ?? 0);
    },
  };
}
