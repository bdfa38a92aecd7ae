/**
 * The order in which jobs get room when there is too little for all. Jobs that
 * have begun come first, as what they hold is wasted until they end; then those
 * that must start soonest; last those that will be late whatever happens. Load
 * above capacity then makes few jobs late instead of each job a little.
 */
import type { LiveJob } from "./live_job.ts";

/** Latest time at which the rest of a job can start and end in time. */
export function latestStart(live: LiveJob, slowness: number): number {
  return live.dueAt - remainingMs(live) * slowness;
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
export type Rank = 0 | 1 | 2;

const BEGUN: Rank = 0;

const NEW: Rank = 1;

const LATE: Rank = 2;

export interface RankedJob {
  readonly live: LiveJob;
  readonly rank: Rank;
  readonly latestStart: number;
}

export function isLate(ranked: RankedJob): boolean {
  return ranked.rank === LATE;
}

export function orderJobs(
  jobs: readonly LiveJob[],
  options: { readonly now: number; readonly slowness: number },
): readonly RankedJob[] {
  const ranked = jobs.map((live) => {
    const start = latestStart(live, options.slowness);
    const rank = rankOf(live, start, options.now);
    return { live, rank, latestStart: start };
  });
  return ranked.sort((left, right) =>
    left.rank - right.rank || left.latestStart - right.latestStart
  );
}

function rankOf(live: LiveJob, start: number, now: number): Rank {
  if (start < now) return LATE;
  return live.mayHaveRun ? BEGUN : NEW;
}
