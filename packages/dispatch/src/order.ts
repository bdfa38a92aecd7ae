/**
 * The order in which jobs get room: those that must start soonest first. Jobs
 * that will be late whatever happens come after all that can still be in time.
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

export function orderJobs(
  jobs: readonly LiveJob[],
  options: { readonly now: number; readonly slowness: number },
): readonly LiveJob[] {
  const ranked = jobs.map((live) => {
    const start = latestStart(live, options.slowness);
    return { live, start, isLate: start < options.now };
  });
  ranked.sort((left, right) =>
    Number(left.isLate) - Number(right.isLate) || left.start - right.start
  );
  return ranked.map(({ live }) => live);
}
