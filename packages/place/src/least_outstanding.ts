/**
 * Least outstanding: the free side on which the fewest tasks run, relative to
 * its slots.
 */
import type { Candidate, Policy, Random } from "./policy.ts";

/** Estimates how many tasks a side holds now, over all entries. */
export function estimateBusy(candidate: Candidate): number {
  const { load, outstanding, outstandingAtLoad } = candidate;
  const others = load.running + load.queued - outstandingAtLoad;
  return outstanding + Math.max(0, others);
}

export function createLeastOutstanding(random: Random): Policy {
  return {
    choose(_task, candidates) {
      let best: string | undefined;
      let lowest = 1;
      const offset = Math.floor(random() * candidates.length);
      for (let step = 0; step < candidates.length; step++) {
        const candidate = candidates[(step + offset) % candidates.length]!;
        const share = estimateBusy(candidate) / candidate.slots;
        if (share < lowest) {
          lowest = share;
          best = candidate.side;
        }
      }
      return best;
    },
    observe() {},
    forget() {},
  };
}
