/** By when a job should end, from its chain of steps and its queue. */
import type { Job, Queue } from "@coltsfootreach/run";

/** Longest chain of declared run times over steps that follow each other. */
export function longestChainMs(job: Job): number {
  const ends: number[] = [];
  for (const step of job.steps) {
    const starts = step.after.map((position) => ends[position] ?? 0);
    ends.push(Math.max(0, ...starts) + step.estimateMs);
  }
  return Math.max(0, ...ends);
}

/** Declared run time from the start of each step to the end of the job. */
export function remainingChainMs(job: Job): readonly number[] {
  const remaining = job.steps.map((step) => step.estimateMs);
  for (let position = job.steps.length - 1; position >= 0; position -= 1) {
    for (const earlier of job.steps[position]!.after) {
      const through = job.steps[earlier]!.estimateMs + remaining[position]!;
      remaining[earlier] = Math.max(remaining[earlier]!, through);
    }
  }
  return remaining;
}

/** An answer after this many times the objective is hardly of use. */
export const STALE_FACTOR = 3;

/** Time from hand-in to the latest end that still meets the objective. */
export function objectiveMs(
  chainMs: number,
  queue: Pick<Queue, "slackFactor" | "extraMs">,
): number {
  return chainMs * queue.slackFactor + queue.extraMs;
}
