/**
 * Shortest expected delay: chooses the side expected to end the task first,
 * based on learned run times, the slowness of the sides and estimates of their
 * load.
 *
 * There are three exceptions:
 *
 * - A task stays queued if a faster side that is full now is still expected to
 *   end it considerably sooner.
 * - A task that cannot delay its job, because a longer task of the job runs
 *   alongside it, goes to the slowest side that still ends it in time. Fast
 *   slots stay free for the tasks that need them.
 * - Jobs with many unplaced tasks leave some slots of each side free, so that
 *   small jobs start without waiting. So do all jobs of a tenant that far
 *   exceeds its fair share.
 */
import type {
  Candidate,
  PlacementPolicy,
  PlacementRequest,
  Random,
} from "./policy.ts";
import {
  createRunTimeModel,
  type Forecast,
  meanMsOf,
  type RunTimeModel,
} from "./run_times.ts";
import { createSideEstimates } from "./side_estimate.ts";

export interface ExpectedDelayOptions {
  readonly random: Random;
  /** One-way network delay to a data centre, in milliseconds; defaults to 0. */
  readonly delayMsTo?: ((dataCentre: string) => number) | undefined;
  /** Run time model, which the policy updates and other components may read. */
  readonly runTimes?: RunTimeModel | undefined;
}

/** Maximum number of candidates evaluated per decision. */
const MAX_EVALUATED_CANDIDATES = 16;

/** Maximum expected number of tasks on a side beyond its slots. */
const MAX_EXCESS_TASKS = 0.5;

/** Minimum gain that justifies waiting, as a share of the expected run time. */
const MIN_WAIT_GAIN_SHARE = 0.2;

/**
 * Standard deviations above the mean of the log run time at which a task must
 * still end in time.
 */
const SAFETY_DEVIATIONS = 1;

/** Share of all slots that a large job is assumed to get. */
const JOB_SLOT_SHARE = 0.3;

/** Share of a side's slots that the largest jobs leave to smaller jobs. */
const MAX_JOB_RESERVE_SHARE = 0.3;

/** Share of a side's slots left free by a tenant far above its fair share. */
const MAX_TENANT_RESERVE_SHARE = 0.4;

/** Ratio of usage to fair share above which a tenant leaves slots free. */
const TENANT_RESERVE_START_RATIO = 1.25;

/** Ratio of usage to fair share at which the tenant reserve is largest. */
const TENANT_RESERVE_FULL_RATIO = 1.75;

/** Elapsed share of the time to the deadline after which a job reserves less. */
const JOB_RESERVE_FADE_START = 0.6;

/** Elapsed share of that time after which a job reserves no slots. */
const JOB_RESERVE_FADE_END = 0.8;

/** Unplaced tasks of the largest jobs, for which the job reserve is largest. */
const LARGEST_JOB_TASKS = 540;

/** A candidate evaluated for the task that is being placed. */
interface Evaluation {
  readonly candidate: Candidate;
  readonly slowness: number;
  /** Whether the side cannot take the task now, given the reserved slots. */
  readonly isFull: boolean;
  /** Expected time from now until the task starts on the side. */
  readonly startMs: number;
  /** Expected time from now until the result of the task arrives. */
  readonly endMs: number;
}

/** Approximates the mean of max(0, X) for a normally distributed X. */
function expectedPositivePart(mean: number, variance: number): number {
  return (mean + Math.sqrt(mean * mean + variance)) / 2;
}

/** Task properties that every candidate of a decision is evaluated with. */
interface EvaluationInput {
  /** Expected run time on a side with slowness 1. */
  readonly runMs: number;
  readonly reserveShare: number;
  readonly nowMs: number;
}

/**
 * Share of each side's slots that a job leaves free. It grows with the number
 * of unplaced tasks and drops to zero as the deadline approaches.
 */
function jobReserveShare(
  { unplaced, ageMs, leftMs }: PlacementRequest,
): number {
  const sizeFactor = Math.min(
    1,
    Math.log(unplaced) / Math.log(LARGEST_JOB_TASKS),
  );
  const elapsedShare = (ageMs ?? 0) / Math.max(1, (ageMs ?? 0) + leftMs);
  const fadeFactor = (JOB_RESERVE_FADE_END - elapsedShare) /
    (JOB_RESERVE_FADE_END - JOB_RESERVE_FADE_START);
  return MAX_JOB_RESERVE_SHARE * sizeFactor *
    Math.min(1, Math.max(0, fadeFactor));
}

/** Share of each side's slots left free by a tenant above its fair share. */
function tenantReserveShare({ usageRatio }: PlacementRequest): number {
  const factor = ((usageRatio ?? 0) - TENANT_RESERVE_START_RATIO) /
    (TENANT_RESERVE_FULL_RATIO - TENANT_RESERVE_START_RATIO);
  return MAX_TENANT_RESERVE_SHARE * Math.min(1, Math.max(0, factor));
}

function runTimeUpperBound({ logMs, logDeviation }: Forecast): number {
  return Math.exp(logMs + SAFETY_DEVIATIONS * logDeviation);
}

export function createExpectedDelay(
  options: ExpectedDelayOptions,
): PlacementPolicy {
  const { random } = options;
  const delayMsTo = options.delayMsTo ?? (() => 0);
  const runTimes = options.runTimes ?? createRunTimeModel();
  const estimates = createSideEstimates();
  let declinedCount = 0;
  let declinedAtMs = -1;

  function evaluate(
    candidate: Candidate,
    { runMs, reserveShare, nowMs }: EvaluationInput,
  ): Evaluation {
    const { side, slots, dataCentre } = candidate;
    const slowness = runTimes.slowness(side);
    const busy = estimates.busy(candidate, nowMs);
    const excessTasks = busy.mean + 1 - slots;
    const excessOverLimit = excessTasks - MAX_EXCESS_TASKS +
      reserveShare * slots;
    const tasksAhead = excessOverLimit > 0
      ? excessOverLimit + declinedCount
      : 0;
    const slotIntervalMs = estimates.meanRunMs(side) / slots;
    const waitMs =
      Math.max(expectedPositivePart(excessTasks, busy.variance), tasksAhead) *
      slotIntervalMs;
    const startMs = waitMs + delayMsTo(dataCentre);
    const endMs = startMs + runMs * slowness + delayMsTo(dataCentre);
    return { candidate, slowness, isFull: tasksAhead > 0, startMs, endMs };
  }

  function evaluateAll(
    candidates: readonly Candidate[],
    input: EvaluationInput,
  ): Evaluation[] {
    const count = Math.min(candidates.length, MAX_EVALUATED_CANDIDATES);
    const offset = Math.floor(random() * candidates.length);
    const evaluations: Evaluation[] = [];
    for (let step = 0; step < count; step++) {
      const candidate = candidates[(offset + step) % candidates.length]!;
      evaluations.push(evaluate(candidate, input));
    }
    return evaluations;
  }

  /** Expected time until the job ends, regardless of this task. */
  function jobEndMs(
    task: PlacementRequest,
    runMs: number,
    evaluations: readonly Evaluation[],
  ): number {
    let minSlowness = Infinity;
    let effectiveSlots = 0;
    for (const { slowness, candidate } of evaluations) {
      minSlowness = Math.min(minSlowness, slowness);
      effectiveSlots += candidate.slots / slowness;
    }
    const remainingTasksMs = ((task.unplaced - 1) * runMs) /
      (JOB_SLOT_SHARE * effectiveSlots);
    const longestMs = task.longestMs ?? task.declaredMs;
    if (longestMs <= task.declaredMs) return remainingTasksMs;
    const longestRunMs = runTimes.expectedMs(task.class, longestMs);
    return Math.max(
      remainingTasksMs,
      longestRunMs * minSlowness - (task.ageMs ?? 0),
    );
  }

  /** Finds the slowest side that is expected to end the task in time. */
  function findSlowestInTime(
    evaluations: readonly Evaluation[],
    upperBoundMs: number,
    latestEndMs: number,
  ): Evaluation | undefined {
    let best: Evaluation | undefined;
    for (const evaluation of evaluations) {
      if (evaluation.isFull) continue;
      if (
        evaluation.startMs + upperBoundMs * evaluation.slowness > latestEndMs
      ) continue;
      if (best === undefined || evaluation.slowness > best.slowness) {
        best = evaluation;
      }
    }
    return best;
  }

  function findEarliestEnd(
    evaluations: readonly Evaluation[],
  ): Evaluation | undefined {
    let best: Evaluation | undefined;
    for (const evaluation of evaluations) {
      if (evaluation.isFull) continue;
      if (best === undefined || evaluation.endMs < best.endMs) {
        best = evaluation;
      }
    }
    return best;
  }

  function isWorthWaiting(
    evaluations: readonly Evaluation[],
    best: Evaluation,
    runMs: number,
  ): boolean {
    const maxEndMs = best.endMs - MIN_WAIT_GAIN_SHARE * runMs;
    return evaluations.some((evaluation) =>
      evaluation.isFull && evaluation.endMs < maxEndMs
    );
  }

  function choose(
    task: PlacementRequest,
    candidates: readonly Candidate[],
    nowMs: number,
  ): string | undefined {
    const forecast = runTimes.forecast(task.class, task.declaredMs);
    const runMs = meanMsOf(forecast);
    const reserveShare = Math.max(
      jobReserveShare(task),
      tenantReserveShare(task),
    );
    const evaluations = evaluateAll(candidates, { runMs, reserveShare, nowMs });
    const best = findEarliestEnd(evaluations);
    if (best === undefined) return undefined;
    const latestEndMs = jobEndMs(task, runMs, evaluations);
    const slowest = findSlowestInTime(
      evaluations,
      runTimeUpperBound(forecast),
      latestEndMs,
    );
    if (slowest !== undefined) return slowest.candidate.side;
    if (isWorthWaiting(evaluations, best, runMs)) return undefined;
    return best.candidate.side;
  }

  return {
    choose(task, candidates, nowMs) {
      if (nowMs !== declinedAtMs) declinedCount = 0;
      declinedAtMs = nowMs;
      const side = choose(task, candidates, nowMs);
      if (side === undefined) declinedCount++;
      return side;
    },

    hasRoom(candidates, nowMs) {
      if (candidates.length > MAX_EVALUATED_CANDIDATES) return true;
      return candidates.some((candidate) =>
        estimates.busy(candidate, nowMs).mean + 1 - candidate.slots <=
          MAX_EXCESS_TASKS
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
