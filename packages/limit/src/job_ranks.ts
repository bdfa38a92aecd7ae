/** Ranks of queued jobs; the job of the lowest rank is placed first. */
import type { TaskGroup } from "./task_groups.ts";

/** Rank delay of a job per millisecond of its work divided by the slots. */
const RANK_DELAY_FACTOR = 50;

/** Maximum rank delay of a job, as a share of its time to the deadline. */
const MAX_RANK_DELAY_SHARE = 0.5;

/** Precedes the rank of every job that was not requeued. */
const REQUEUED_RANK = -1;

/**
 * The order in which jobs are placed:
 * - `arrival`: first in, first out.
 * - `deadline`: earliest deadline first.
 * - `leastWork`: least remaining work first, with aging in favour of older jobs
 *   to prevent starvation.
 */
export type JobOrder = "arrival" | "deadline" | "leastWork";

/** A job that has not been submitted to the queue yet. */
export interface ProspectiveJob {
  readonly tenant: string;
  /** Total expected slot time of its tasks. */
  readonly workMs: number;
  readonly deadlineMs: number;
}

export interface JobRanksOptions {
  readonly order: JobOrder;
  /** Number of slots that serve the queue. */
  slots(): number;
  /** Sequence number of the next job. */
  nextSequence(): number;
}

export interface JobRanks {
  rankOf(group: TaskGroup): number;
  /** The rank of the job, regardless of requeued tasks. */
  baseRankOf(group: TaskGroup): number;
  /** The rank that a job would have if it were submitted now. */
  rankOfProspectiveJob(prospect: ProspectiveJob, nowMs: number): number;
}

export function createJobRanks(options: JobRanksOptions): JobRanks {
  const { order } = options;

  /** Delay added to the arrival time of a job to compute its rank. */
  function rankDelayMs(workMs: number, deadlineMs: number): number {
    const shareMs = workMs / Math.max(1, options.slots());
    return Math.min(
      MAX_RANK_DELAY_SHARE * deadlineMs,
      RANK_DELAY_FACTOR * shareMs,
    );
  }

  function baseRankOf(group: TaskGroup): number {
    if (order === "arrival") return group.sequence;
    if (order === "deadline") return group.deadlineAtMs;
    const deadlineMs = group.deadlineAtMs - group.pushedAtMs;
    return group.pushedAtMs + rankDelayMs(group.workMs, deadlineMs);
  }

  return {
    baseRankOf,
    rankOf: (group) => group.isRequeued ? REQUEUED_RANK : baseRankOf(group),
    rankOfProspectiveJob({ workMs, deadlineMs }, nowMs) {
      if (order === "arrival") return options.nextSequence();
      if (order === "deadline") return nowMs + deadlineMs;
      return nowMs + rankDelayMs(workMs, deadlineMs);
    },
  };
}
