/**
 * Least outstanding: chooses the side with a free slot and the lowest ratio of
 * tasks to slots.
 */
import type { Candidate, PlacementPolicy, Random } from "./policy.ts";

/** Estimates the current number of tasks on a side, from all entries. */
export function estimateBusyTasks(candidate: Candidate): number {
  const { load, outstanding, outstandingAtLoad } = candidate;
  const otherTasks = load.running + load.queued - outstandingAtLoad;
  return outstanding + Math.max(0, otherTasks);
}

export function createLeastOutstanding(random: Random): PlacementPolicy {
  return {
    choose(_task, candidates) {
      let best: string | undefined;
      let lowestUtilization = 1;
      const offset = Math.floor(random() * candidates.length);
      for (let step = 0; step < candidates.length; step++) {
        const candidate = candidates[(step + offset) % candidates.length]!;
        const utilization = estimateBusyTasks(candidate) / candidate.slots;
        if (utilization < lowestUtilization) {
          lowestUtilization = utilization;
          best = candidate.side;
        }
      }
      return best;
    },
    observe() {},
    forget() {},
  };
}
