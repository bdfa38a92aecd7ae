/**
 * Derives the failure detection timeouts of entries and sides. They depend on
 * each other: when a caller resubmits a job after its connection broke, no run
 * of the earlier submission may still be executing.
 */
import { err, ok, type Result } from "neverthrow";

/** Timing guarantees that the deployment declares. */
export interface TimingBounds {
  /** Delay after which callers resubmit a job whose connection broke. */
  readonly resendMs: number;
  /** Maximum lease duration that backend servers grant. */
  readonly maxLeaseMs: number;
  /** Maximum time that a backend server takes to stop a run. */
  readonly stopMs: number;
}

export interface Timing {
  /** Maximum interval between frames on a stream with active runs. */
  readonly heartbeatMs: number;
  /** Silence after which an entry considers a side with runs lost. */
  readonly sideLostMs: number;
  /** Silence after which a side stops the runs of an entry. */
  readonly entryLostMs: number;
  /** Time that an entry has to reclaim its runs after their stream broke. */
  readonly reclaimMs: number;
  /** Lease duration of runs on backend servers. */
  readonly leaseMs: number;
  /** Maximum interval between frames on a stream without runs. */
  readonly idleHeartbeatMs: number;
  /** Silence after which an entry considers a side without runs lost. */
  readonly idleSideLostMs: number;
  /** Silence after which a side considers an entry without runs lost. */
  readonly idleEntryLostMs: number;
  /**
   * Time for which callers certainly don't resubmit a job whose connection broke.
   * Offers and jobs that may be older than that may have started elsewhere.
   */
  readonly resubmitAfterMs: number;
  /** Time after which all runs of a lost side are certain to have ended. */
  readonly runExpiryMs: number;
  /** Tick gap beyond which the process was paused and may have unread input. */
  readonly pauseThresholdMs: number;
}

/** The declared times are too short to derive safe timeouts from. */
export class TimingConflict extends Error {
  constructor(reason: string) {
    super(`the declared times leave too little room: ${reason}`);
    this.name = "TimingConflict";
  }
}

/** Tick interval of a process with active runs. */
export const BUSY_TICK_MS = 25;

/** Tick interval of a process with nothing to do. */
export const IDLE_TICK_MS = 200;

/**
 * Time to read input that arrived while nothing was read. It may be stale, and may
 * need several turns of the event loop to be read.
 */
export const STALE_INPUT_WINDOW_MS = 50;

/** Lowest rate of a clock; a server's own clock may be this slow. */
export const MIN_CLOCK_RATE = 0.98;

/** Factor by which a time that a slow clock measures may be longer. */
const CLOCK_DRIFT_FACTOR = 1 / MIN_CLOCK_RATE;

/** Allowance for the latency of frames and of requests to backend servers. */
const MARGIN_MS = 100;

/** Longer leases and silence timeouts only delay the retry of lost runs. */
const MAX_LEASE_MS = 700;

const MAX_SILENCE_MS = 650;

const MAX_RECLAIM_MS = 300;

const MAX_IDLE_HEARTBEAT_MS = 1000;

/** A lease must survive a few lost renewals. */
const MIN_LEASE_MS = 250;

/** Several heartbeats must fit into the silence timeout. */
const MIN_SILENCE_MS = 250;

/** Ratios to the silence timeout. */
const HEARTBEAT_RATIO = 0.31;

const SIDE_LOST_RATIO = 0.77;

const PAUSE_RATIO = 0.62;

/** Ratios to the heartbeat interval of idle streams. */
const IDLE_SIDE_LOST_RATIO = 2.5;

const IDLE_ENTRY_LOST_RATIO = 3;

/** Derives the timeouts, or fails if the declared times are too short. */
export function deriveTiming(
  { resendMs, maxLeaseMs, stopMs }: TimingBounds,
): Result<Timing, TimingConflict> {
  const usableMs = resendMs / CLOCK_DRIFT_FACTOR - MARGIN_MS;
  const silenceTimeoutMs = Math.floor(
    Math.min(MAX_SILENCE_MS, usableMs - BUSY_TICK_MS - stopMs),
  );
  const leaseMs = Math.floor(Math.min(MAX_LEASE_MS, maxLeaseMs, usableMs));
  if (silenceTimeoutMs < MIN_SILENCE_MS) {
    return err(
      new TimingConflict(`only ${silenceTimeoutMs} ms to detect a lost entry`),
    );
  }
  if (leaseMs < MIN_LEASE_MS) {
    return err(new TimingConflict(`leases would last only ${leaseMs} ms`));
  }
  // The tick that sends a heartbeat may be late by its interval.
  const idleHeartbeatMs = Math.floor(
    Math.min(MAX_IDLE_HEARTBEAT_MS, usableMs - IDLE_TICK_MS),
  );
  return ok({
    heartbeatMs: Math.floor(silenceTimeoutMs * HEARTBEAT_RATIO),
    sideLostMs: Math.floor(silenceTimeoutMs * SIDE_LOST_RATIO),
    entryLostMs: silenceTimeoutMs,
    reclaimMs: Math.min(MAX_RECLAIM_MS, silenceTimeoutMs),
    leaseMs,
    idleHeartbeatMs,
    idleSideLostMs: idleHeartbeatMs * IDLE_SIDE_LOST_RATIO,
    idleEntryLostMs: idleHeartbeatMs * IDLE_ENTRY_LOST_RATIO,
    resubmitAfterMs: Math.floor(usableMs),
    // The side renews leases until it detects the loss; then they must expire.
    runExpiryMs: Math.ceil(
      (silenceTimeoutMs + BUSY_TICK_MS + leaseMs) * CLOCK_DRIFT_FACTOR +
        MARGIN_MS,
    ),
    pauseThresholdMs: Math.floor(silenceTimeoutMs * PAUSE_RATIO),
  });
}
