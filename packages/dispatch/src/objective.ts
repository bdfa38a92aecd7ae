/** Latency objectives of jobs, from their critical path and their queue. */
import type { Job, Queue } from "@coltsfootreach/run";

/** Length of the critical path through the steps, in declared run time. */
export function criticalPathMs(job: Job): number {
  const ends: number[] = [];
  for (const step of job.steps) {
    const predecessorEnds = step.after.map((stepIndex) => ends[stepIndex] ?? 0);
    ends.push(Math.max(0, ...predecessorEnds) + step.estimateMs);
  }
  return Math.max(0, ...ends);
}

/** Longest path from the start of each step to the end of the job. */
export function remainingPathMs(job: Job): readonly number[] {
  const remaining = job.steps.map((step) => step.estimateMs);
  for (let stepIndex = job.steps.length - 1; stepIndex >= 0; stepIndex -= 1) {
    for (const predecessor of job.steps[stepIndex]!.after) {
      const pathMs = job.steps[predecessor]!.estimateMs + remaining[stepIndex]!;
      remaining[predecessor] = Math.max(remaining[predecessor]!, pathMs);
    }
  }
  return remaining;
}

/** An answer after this multiple of the objective is of little use. */
export const STALE_FACTOR = 3;

/** Maximum time from submission to completion that meets the objective. */
export function objectiveMs(
  pathMs: number,
  queue: Pick<Queue, "slackFactor" | "extraMs">,
): number {
  return pathMs * queue.slackFactor + queue.extraMs;
}
