/**
 * Shortest expected delay: the side on which the task is expected to end
 * first, from learned run times and slowness. A task waits in the queue when a
 * faster side that is busy now is expected to end it sooner than any free one.
 */
import { estimateBusy } from "./least_outstanding.ts";
import type { Candidate, Placing, Policy, Random } from "./policy.ts";
import { createRunTimes } from "./run_times.ts";

export interface ExpectedDelayOptions {
  readonly random: Random;
  /** One-way delay to a data centre in milliseconds; 0 when not given. */
  readonly delayMsTo?: ((dataCentre: string) => number) | undefined;
}

/** Candidates that are looked at for one decision. */
const MAX_SAMPLE = 16;

/** Expected ends that differ by less than this share count as equal. */
const TIE_SHARE = 0.02;

interface Expectation {
  readonly candidate: Candidate;
  readonly isFree: boolean;
  readonly endMs: number;
}

export function createExpectedDelay(options: ExpectedDelayOptions): Policy {
  const { random } = options;
  const delayMsTo = options.delayMsTo ?? (() => 0);
  const runTimes = createRunTimes();

  /** A share of tasks ends per millisecond and slot on a side. */
  function waitMs(candidate: Candidate, runMs: number, ahead: number): number {
    const over = estimateBusy(candidate) + 1 + ahead - candidate.slots;
    return over <= 0 ? 0 : (over * runMs) / candidate.slots;
  }

  function expect(task: Placing, candidate: Candidate): Expectation {
    const { logMs, spread } = runTimes.forecast(task.class, task.declaredMs);
    const meanMs = Math.exp(logMs + (spread * spread) / 2);
    const runMs = meanMs * runTimes.slowness(candidate.side);
    const isFree = estimateBusy(candidate) < candidate.slots;
    const ahead = isFree ? 0 : task.unplaced - 1;
    const wait = waitMs(candidate, runMs, ahead);
    const delayMs = 2 * delayMsTo(candidate.dataCentre);
    return { candidate, isFree, endMs: wait + runMs + delayMs };
  }

  return {
    choose(task, candidates) {
      const count = Math.min(candidates.length, MAX_SAMPLE);
      const offset = Math.floor(random() * candidates.length);
      let best: Expectation | undefined;
      for (let step = 0; step < count; step++) {
        const candidate = candidates[(offset + step) % candidates.length]!;
        const expectation = expect(task, candidate);
        const bound = best === undefined
          ? Infinity
          : best.endMs * (1 - TIE_SHARE);
        if (expectation.endMs < bound) best = expectation;
      }
      return best?.isFree ? best.candidate.side : undefined;
    },

    observe(observation) {
      if (observation.failed || observation.runMs === undefined) return;
      runTimes.observe({ ...observation, runMs: observation.runMs });
    },

    forget(side) {
      runTimes.forget(side);
    },
  };
}
