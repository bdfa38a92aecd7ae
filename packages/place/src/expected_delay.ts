/**
 * Shortest expected delay: the side on which the task is expected to end first,
 * from learned run times and slowness and from what is believed to be running.
 *
 * Three things bend this rule. A task waits in the queue when a faster side that
 * is full now is expected to end it clearly sooner. And a task that cannot hold
 * up its job, because a longer one runs beside it, takes the slowest side that
 * still ends it in time, so that fast slots are left to tasks that need them.
 * Jobs with many tasks left also leave some slots of each side free, which
 * small jobs then find without waiting; so do all jobs of a tenant that takes far
 * more than its share.
 */
import type { Candidate, Placing, Policy, Random } from "./policy.ts";
import {
  createRunTimes,
  type Forecast,
  meanOf,
  type RunTimes,
} from "./run_times.ts";
import { createSideEstimates } from "./side_estimate.ts";

export interface ExpectedDelayOptions {
  readonly random: Random;
  /** One-way delay to a data centre in milliseconds; 0 when not given. */
  readonly delayMsTo?: ((dataCentre: string) => number) | undefined;
  /** Learned run times; the policy teaches them, others may read them. */
  readonly runTimes?: RunTimes | undefined;
}

/** Candidates that are looked at for one decision. */
const MAX_SAMPLE = 16;

/** Tasks that may stand on a side beyond its slots. */
const MAX_OVER = 0.5;

/** By how much of its run time a task must gain for it to wait. */
const WAIT_GAIN_SHARE = 0.2;

/** Standard deviations above the mean that a task's end must stay in time. */
const SAFETY = 1;

/** Share of all slots that one big job may count on. */
const SHARE_OF_JOB = 0.3;

/** Share of a side's slots that the biggest jobs leave to smaller ones. */
const MAX_RESERVE_SHARE = 0.3;

/** Share of a side's slots that a tenant far over its share leaves free. */
const MAX_TENANT_RESERVE_SHARE = 0.4;

/** Usage over the fair share from which a tenant reserves. */
const TENANT_RESERVE_FROM = 1.25;

/** Usage over the fair share from which a tenant reserves most. */
const TENANT_RESERVE_FULL = 1.75;

/** Share of its time to the deadline after which a job reserves less. */
const RESERVE_FADE = 0.6;

/** Share of its time to the deadline after which a job reserves nothing. */
const RESERVE_END = 0.8;

/** Tasks that are left to place in the biggest jobs. */
const BIGGEST_JOB = 540;

/** What a side is to the task that is being placed. */
interface Option {
  readonly candidate: Candidate;
  readonly slowness: number;
  /** The task cannot be sent there now. */
  readonly isHeld: boolean;
  /** Time until the task starts there, from now. */
  readonly startMs: number;
  /** Expected end, from now. */
  readonly endMs: number;
}

/** About the mean of the positive part of a normal number. */
function positivePart(mean: number, variance: number): number {
  return (mean + Math.sqrt(mean * mean + variance)) / 2;
}

/** What one decision looks for. */
interface Sought {
  /** Expected run time on a side of slowness 1. */
  readonly runMs: number;
  readonly reserveShare: number;
  readonly nowMs: number;
}

/**
 * What a job leaves of each side's slots: the more, the more tasks it has left,
 * and nothing when its deadline draws near.
 */
function jobReserve({ unplaced, ageMs, leftMs }: Placing): number {
  const size = Math.min(1, Math.log(unplaced) / Math.log(BIGGEST_JOB));
  const age = (ageMs ?? 0) / Math.max(1, (ageMs ?? 0) + leftMs);
  const kept = (RESERVE_END - age) / (RESERVE_END - RESERVE_FADE);
  return MAX_RESERVE_SHARE * size * Math.min(1, Math.max(0, kept));
}

/** What a tenant over its share leaves of each side's slots. */
function tenantReserve({ usageRatio }: Placing): number {
  const over = ((usageRatio ?? 0) - TENANT_RESERVE_FROM) /
    (TENANT_RESERVE_FULL - TENANT_RESERVE_FROM);
  return MAX_TENANT_RESERVE_SHARE * Math.min(1, Math.max(0, over));
}

function upperOf({ logMs, spread }: Forecast): number {
  return Math.exp(logMs + SAFETY * spread);
}

export function createExpectedDelay(options: ExpectedDelayOptions): Policy {
  const { random } = options;
  const delayMsTo = options.delayMsTo ?? (() => 0);
  const runTimes = options.runTimes ?? createRunTimes();
  const estimates = createSideEstimates();
  let declined = 0;
  let declinedAtMs = -1;

  function evaluate(
    candidate: Candidate,
    { runMs, reserveShare, nowMs }: Sought,
  ): Option {
    const { side, slots, dataCentre } = candidate;
    const slowness = runTimes.slowness(side);
    const busy = estimates.busy(candidate, nowMs);
    const over = busy.mean + 1 - slots;
    const overLimit = over - MAX_OVER + reserveShare * slots;
    const held = overLimit > 0 ? overLimit + declined : 0;
    const slotMs = estimates.meanRunMs(side) / slots;
    const waitMs = Math.max(positivePart(over, busy.variance), held) * slotMs;
    const startMs = waitMs + delayMsTo(dataCentre);
    const endMs = startMs + runMs * slowness + delayMsTo(dataCentre);
    return { candidate, slowness, isHeld: held > 0, startMs, endMs };
  }

  function evaluateAll(
    candidates: readonly Candidate[],
    sought: Sought,
  ): Option[] {
    const count = Math.min(candidates.length, MAX_SAMPLE);
    const offset = Math.floor(random() * candidates.length);
    const found: Option[] = [];
    for (let step = 0; step < count; step++) {
      const candidate = candidates[(offset + step) % candidates.length]!;
      found.push(evaluate(candidate, sought));
    }
    return found;
  }

  /** When the job is expected to end whatever happens to this task. */
  function jobEndMs(
    task: Placing,
    runMs: number,
    found: readonly Option[],
  ): number {
    let fastest = Infinity;
    let rate = 0;
    for (const { slowness, candidate } of found) {
      fastest = Math.min(fastest, slowness);
      rate += candidate.slots / slowness;
    }
    const drainMs = ((task.unplaced - 1) * runMs) / (SHARE_OF_JOB * rate);
    const longestMs = task.longestMs ?? task.declaredMs;
    if (longestMs <= task.declaredMs) return drainMs;
    const longest = runTimes.expectedMs(task.class, longestMs);
    return Math.max(drainMs, longest * fastest - (task.ageMs ?? 0));
  }

  /** The slowest side that ends the task in time. */
  function slowestInTime(
    found: readonly Option[],
    upperMs: number,
    endMs: number,
  ): Option | undefined {
    let best: Option | undefined;
    for (const option of found) {
      if (option.isHeld) continue;
      if (option.startMs + upperMs * option.slowness > endMs) continue;
      if (best === undefined || option.slowness > best.slowness) best = option;
    }
    return best;
  }

  function earliest(found: readonly Option[]): Option | undefined {
    let best: Option | undefined;
    for (const option of found) {
      if (option.isHeld) continue;
      if (best === undefined || option.endMs < best.endMs) best = option;
    }
    return best;
  }

  function isWorthWaiting(
    found: readonly Option[],
    best: Option,
    runMs: number,
  ): boolean {
    const bound = best.endMs - WAIT_GAIN_SHARE * runMs;
    return found.some((option) => option.isHeld && option.endMs < bound);
  }

  function choose(
    task: Placing,
    candidates: readonly Candidate[],
    nowMs: number,
  ): string | undefined {
    const forecast = runTimes.forecast(task.class, task.declaredMs);
    const runMs = meanOf(forecast);
    const reserveShare = Math.max(jobReserve(task), tenantReserve(task));
    const found = evaluateAll(candidates, { runMs, reserveShare, nowMs });
    const best = earliest(found);
    if (best === undefined) return undefined;
    const endMs = jobEndMs(task, runMs, found);
    const spare = slowestInTime(found, upperOf(forecast), endMs);
    if (spare !== undefined) return spare.candidate.side;
    if (isWorthWaiting(found, best, runMs)) return undefined;
    return best.candidate.side;
  }

  return {
    choose(task, candidates, nowMs) {
      if (nowMs !== declinedAtMs) declined = 0;
      declinedAtMs = nowMs;
      const side = choose(task, candidates, nowMs);
      if (side === undefined) declined++;
      return side;
    },

    hasRoom(candidates, nowMs) {
      if (candidates.length > MAX_SAMPLE) return true;
      return candidates.some((candidate) =>
        estimates.busy(candidate, nowMs).mean + 1 - candidate.slots <= MAX_OVER
      );
    },

    observe(observation) {
      if (observation.failed || observation.runMs === undefined) return;
      runTimes.observe({ ...observation, runMs: observation.runMs });
      estimates.observeRun(observation.side, observation.runMs);
    },

    forget(side) {
      runTimes.forget(side);
      estimates.forget(side);
    },
  };
}
