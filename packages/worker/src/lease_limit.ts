/**
 * How long a lease may last that is requested now. A run must be over when the
 * caller of its job may submit the job elsewhere, even if the server confirms no
 * stop. Since a lease covers all runs of a server, the run that must be over
 * first limits it.
 */
import { MIN_CLOCK_RATE, type Timing } from "@coltsfootreach/run";
import type { Owners } from "./owners.ts";
import type { Run, Runs } from "./runs.ts";

export interface LeaseLimitOptions {
  readonly timing: Timing;
  readonly runs: Runs;
  readonly owners: Owners;
}

export interface LeaseLimit {
  /** Duration on the server's clock; 0 or less if no lease may be requested. */
  leaseMs(now: number): number;
  /** When a run must be over whose entry was last heard at this time. */
  endOfRun(lastHeardAt: number): number;
}

export function createLeaseLimit(
  { timing, runs, owners }: LeaseLimitOptions,
): LeaseLimit {
  function endOfRun(lastHeardAt: number): number {
    return lastHeardAt + timing.resubmitAfterMs;
  }

  function latestEndOf(run: Run): number {
    if (run.owner === undefined) return run.endBy;
    return Math.min(run.endBy, endOfRun(owners.lastReceivedAt(run.owner)));
  }

  return {
    endOfRun,
    leaseMs(now) {
      let endBy = Infinity;
      for (const run of runs.all()) endBy = Math.min(endBy, latestEndOf(run));
      return Math.min(timing.leaseMs, (endBy - now) * MIN_CLOCK_RATE);
    },
  };
}
