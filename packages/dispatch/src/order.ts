/**
 * The order in which jobs get room when there is too little for all. Jobs that
 * have begun come first, as what they hold is wasted until they end; then those
 * that must start soonest; then those that will be late whatever happens, and
 * last those whose answer is hardly of use any more. Load above capacity then
 * makes few jobs late instead of each job a little, and late jobs take only
 * room that nobody else can use.
 */
import type { LiveJob } from "./live_job.ts";

/** Latest time at which the rest of a job can start and end in time. */
export function latestStart(live: LiveJob, slowness: number): number {
  return live.dueAt - remainingMs(live) * slowness;
}

/** Latest time at which its rest can start for an answer that is of use. */
export function latestUsefulStart(live: LiveJob, slowness: number): number {
  return live.staleAt - remainingMs(live) * slowness;
}

/** Longest declared run time from the tasks that wait to the job's end. */
function remainingMs(live: LiveJob): number {
  let longest = 0;
  for (const task of live.tasks) {
    if (task.state !== "waiting") continue;
    longest = Math.max(longest, live.chainMs[task.ref.step]!);
  }
  return longest;
}

/** Lower ranks get room first. */
export type Rank = 0 | 1 | 2 | 3;

const BEGUN: Rank = 0;

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
  /** Run time over declared time on a sound server. */
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
    left.rank - right.rank || left.latestStart - right.latestStart
  );
}

function rankOf(
  live: LiveJob,
  start: number,
  { now, slowness }: OrderOptions,
): Rank {
  if (latestUsefulStart(live, slowness) < now) return STALE;
  if (start < now) return LATE;
  return live.mayHaveRun ? BEGUN : NEW;
}
