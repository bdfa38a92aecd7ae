/**
 * Scheduling order of jobs when capacity is scarce. Started jobs come first,
 * because the resources they hold are wasted until they end; then jobs that can
 * still be in time; then jobs that will miss their deadline in any case, and
 * last jobs whose answer would be of little use. Under overload, this makes few
 * jobs late rather than every job slightly late, and late jobs only get capacity
 * that no other job can use. Among jobs of one rank, the priority of their queue
 * decides, and then the earliest required start. So under overload the queues
 * of lowest priority are refused first, and a job of low priority waits at most
 * until its required start has passed, since new jobs are refused by the work
 * ahead of them.
 */
import type { LiveJob } from "./live_job.ts";

/** Latest time at which the remaining tasks can start and meet the deadline. */
export function latestStart(live: LiveJob, slowness: number): number {
  return live.dueAt - remainingMs(live) * slowness;
}

/** Latest time at which the remaining tasks can start and be of use. */
export function latestUsefulStart(live: LiveJob, slowness: number): number {
  return live.staleAt - remainingMs(live) * slowness;
}

/** Longest declared path from any waiting task to the end of the job. */
function remainingMs(live: LiveJob): number {
  let longest = 0;
  for (const task of live.tasks) {
    if (task.state !== "waiting") continue;
    longest = Math.max(longest, live.remainingPathMs[task.ref.step]!);
  }
  return longest;
}

/** Jobs with a lower rank are placed first. */
export type Rank = 0 | 1 | 2 | 3;

const STARTED: Rank = 0;

const NEW: Rank = 1;

const LATE: Rank = 2;

const STALE: Rank = 3;

export interface RankedJob {
  readonly live: LiveJob;
  readonly rank: Rank;
  readonly latestStart: number;
}

export function isLate(ranked: RankedJob): boolean {
  return ranked.rank >= LATE;
}

export interface OrderOptions {
  readonly now: number;
  /** Ratio of actual to declared run time on a healthy server. */
  readonly slowness: number;
}

export function orderJobs(
  jobs: readonly LiveJob[],
  options: OrderOptions,
): readonly RankedJob[] {
  const ranked = jobs.map((live) => {
    const start = latestStart(live, options.slowness);
    const rank = rankOf(live, start, options);
    return { live, rank, latestStart: start };
  });
  return ranked.sort((left, right) =>
    left.rank - right.rank ||
    left.live.queue.priority - right.live.queue.priority ||
    left.latestStart - right.latestStart
  );
}

function rankOf(
  live: LiveJob,
  start: number,
  { now, slowness }: OrderOptions,
): Rank {
  if (latestUsefulStart(live, slowness) < now) return STALE;
  if (start < now) return LATE;
  return live.mayHaveRun ? STARTED : NEW;
}
