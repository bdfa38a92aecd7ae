/**
 * Baselines that the expected-delay policy is measured against. Like it they
 * bind late: a task waits in the queue while no side is believed to be free.
 */
import { estimateBusy } from "./least_outstanding.ts";
import type { Candidate, Policy, Random } from "./policy.ts";

/** The share of a side's slots that is believed to be taken. */
function busyShare(candidate: Candidate): number {
  return estimateBusy(candidate) / candidate.slots;
}

function isFree(candidate: Candidate): boolean {
  return busyShare(candidate) < 1;
}

/** The first free side at or after an offset, and where it stood. */
function firstFree(
  candidates: readonly Candidate[],
  offset: number,
): number | undefined {
  for (let step = 0; step < candidates.length; step++) {
    const at = (offset + step) % candidates.length;
    if (isFree(candidates[at]!)) return at;
  }
  return undefined;
}

type Choose = (candidates: readonly Candidate[]) => string | undefined;

function withoutLearning(choose: Choose): Policy {
  return {
    choose: (_task, candidates) => choose(candidates),
    observe() {},
    forget() {},
  };
}

/** Random: any free side with equal chance. */
export function createRandomChoice(random: Random): Policy {
  return withoutLearning((candidates) => {
    const free = candidates.filter(isFree);
    return free[Math.floor(random() * free.length)]?.side;
  });
}

/** Round robin: the next free side in order. */
export function createRoundRobin(): Policy {
  let next = 0;
  return withoutLearning((candidates) => {
    const at = firstFree(candidates, next);
    if (at === undefined) return undefined;
    next = at + 1;
    return candidates[at]!.side;
  });
}

/** Power of two choices: the less busy of two free sides taken at random. */
export function createTwoChoices(random: Random): Policy {
  return withoutLearning((candidates) => {
    const free = candidates.filter(isFree);
    const one = free[Math.floor(random() * free.length)];
    const other = free[Math.floor(random() * free.length)];
    if (one === undefined || other === undefined) return undefined;
    return busyShare(other) < busyShare(one) ? other.side : one.side;
  });
}
