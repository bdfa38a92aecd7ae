/**
 * The times by which entries and sides notice that the other is gone, worked
 * out together: by the time a caller whose connection broke hands its job in
 * again, no run of the earlier submission may be at work any more.
 */
import { err, ok, type Result } from "neverthrow";

/** What the deployment declares. */
export interface TimingBounds {
  /** Callers hand a job in again this long after their connection broke. */
  readonly resendMs: number;
  /** Longest lease that backend servers grant. */
  readonly maxLeaseMs: number;
  /** Longest time that a backend server takes to stop a run. */
  readonly stopMs: number;
}

export interface Timing {
  /** Longest time between frames on a stream with runs. */
  readonly heartbeatMs: number;
  /** An entry gives up a side with runs that was silent for this long. */
  readonly sideLostMs: number;
  /** A side stops the runs of an entry that was silent for this long. */
  readonly ownerLostMs: number;
  /** Time for an entry to claim its runs after their stream has broken. */
  readonly reclaimMs: number;
  /** Lease of runs on backend servers. */
  readonly leaseMs: number;
  /** Runs on a side that was given up are over after this long. */
  readonly runsOverMs: number;
  /** A gap between ticks after which input may be waiting unread. */
  readonly pauseMs: number;
}

/** The declared times are too short to work with. */
export class TimingConflict extends Error {
  constructor(reason: string) {
    super(`the declared times leave too little room: ${reason}`);
    this.name = "TimingConflict";
  }
}

/** Time between ticks of a process that holds runs. */
export const BUSY_TICK_MS = 25;

/** Clocks may run this much slower than they should. */
const CLOCK_SLACK = 1.02;

/** Allows for the time that frames and orders take. */
const MARGIN_MS = 100;

/** Longer leases and silences only delay the repeat of lost runs. */
const LONGEST_LEASE_MS = 700;

const LONGEST_SILENCE_MS = 650;

const LONGEST_RECLAIM_MS = 300;

/** A lease must outlive a few lost renewals. */
const SHORTEST_LEASE_MS = 250;

/** Some heartbeats must fit into the time of silence. */
const SHORTEST_SILENCE_MS = 250;

/** Shares of the time of silence. */
const HEARTBEAT_SHARE = 0.31;

const SIDE_LOST_SHARE = 0.77;

const PAUSE_SHARE = 0.62;

/** Works the times out, and checks that they add up. */
export function deriveTiming(
  { resendMs, maxLeaseMs, stopMs }: TimingBounds,
): Result<Timing, TimingConflict> {
  const usableMs = resendMs / CLOCK_SLACK - MARGIN_MS;
  const ownerLostMs = Math.floor(
    Math.min(LONGEST_SILENCE_MS, usableMs - BUSY_TICK_MS - stopMs),
  );
  const leaseMs = Math.floor(Math.min(LONGEST_LEASE_MS, maxLeaseMs, usableMs));
  if (ownerLostMs < SHORTEST_SILENCE_MS) {
    return err(new TimingConflict(`${ownerLostMs} ms to notice a lost entry`));
  }
  if (leaseMs < SHORTEST_LEASE_MS) {
    return err(new TimingConflict(`leases of ${leaseMs} ms`));
  }
  return ok({
    heartbeatMs: Math.floor(ownerLostMs * HEARTBEAT_SHARE),
    sideLostMs: Math.floor(ownerLostMs * SIDE_LOST_SHARE),
    ownerLostMs,
    reclaimMs: Math.min(LONGEST_RECLAIM_MS, ownerLostMs),
    leaseMs,
    // The side renews until it notices, and then the lease has to run out.
    runsOverMs: Math.ceil(
      (ownerLostMs + BUSY_TICK_MS + leaseMs) * CLOCK_SLACK + MARGIN_MS,
    ),
    pauseMs: Math.floor(ownerLostMs * PAUSE_SHARE),
  });
}
