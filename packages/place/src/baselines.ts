/**
 * Baseline policies for comparison with the expected-delay policy. They too use
 * late binding: a task stays queued until a side is estimated to have a free
 * slot.
 */
import { estimateBusyTasks } from "./least_outstanding.ts";
import type { Candidate, PlacementPolicy, Random } from "./policy.ts";

/** Estimated share of a side's slots that are in use. */
function utilizationOf(candidate: Candidate): number {
  return estimateBusyTasks(candidate) / candidate.slots;
}

function hasFreeSlot(candidate: Candidate): boolean {
  return utilizationOf(candidate) < 1;
}

/** Index of the first side with a free slot, in cyclic order from `offset`. */
function findFreeIndex(
  candidates: readonly Candidate[],
  offset: number,
): number | undefined {
  for (let step = 0; step < candidates.length; step++) {
    const index = (offset + step) % candidates.length;
    if (hasFreeSlot(candidates[index]!)) return index;
  }
  return undefined;
}

type CandidateSelector = (
  candidates: readonly Candidate[],
) => string | undefined;

function createNonLearningPolicy(choose: CandidateSelector): PlacementPolicy {
  return {
    choose: (_task, candidates) => choose(candidates),
    observe() {},
    forget() {},
  };
}

/** Random: a side with a free slot, chosen uniformly. */
export function createRandomChoice(random: Random): PlacementPolicy {
  return createNonLearningPolicy((candidates) => {
    const free = candidates.filter(hasFreeSlot);
    return free[Math.floor(random() * free.length)]?.side;
  });
}

/** Round robin: the next side with a free slot, in order. */
export function createRoundRobin(): PlacementPolicy {
  let nextIndex = 0;
  return createNonLearningPolicy((candidates) => {
    const index = findFreeIndex(candidates, nextIndex);
    if (index === undefined) return undefined;
    nextIndex = index + 1;
    return candidates[index]!.side;
  });
}

/** Power of two choices: the less utilized of two random free sides. */
export function createTwoChoices(random: Random): PlacementPolicy {
  return createNonLearningPolicy((candidates) => {
    const free = candidates.filter(hasFreeSlot);
    const first = free[Math.floor(random() * free.length)];
    const second = free[Math.floor(random() * free.length)];
    if (first === undefined || second === undefined) return undefined;
    return utilizationOf(second) < utilizationOf(first)
      ? second.side
      : first.side;
  });
}
