/**
 * Admission control for submitted jobs. A refused submission has not run and
 * never will, so every refusal can safely carry the verdict `notRun`.
 *
 * A job is refused when its queue is full or when its deadline cannot be met.
 * The wait is estimated from the tenant's own queued work that is ordered
 * before the job and from the tenant's recent service rate, minus the part of
 * that rate which its smaller jobs are expected to use, as they overtake this
 * one.
 */
import type { Refusal, RefusalCode } from "@coltsfootreach/types";
import { type AdmittedWork, createAdmittedWork } from "./admitted.ts";
import type { ProspectiveJob } from "./job_ranks.ts";
import type { QueueForecast } from "./tenant_queue.ts";

/** The properties of a submitted job that admission control depends on. */
export interface Submission {
  readonly tenant: string;
  readonly tasks: number;
  /** Expected slot time of all tasks together. */
  readonly workMs: number;
  /** Expected run time of the longest task on the fastest side that fits. */
  readonly longestTaskMs: number;
  readonly deadlineMs: number;
}

export interface Admission {
  /** Returns the refusal, or undefined when the job can be admitted. */
  evaluate(submission: Submission, nowMs: number): Refusal | undefined;
  /** Records that the submission was admitted as a job. */
  recordAdmission(submission: Submission, nowMs: number): void;
}

export interface AdmissionOptions {
  /** The queue's forecast for a job submitted now. */
  readonly forecast: (prospect: ProspectiveJob, nowMs: number) => QueueForecast;
  /** Number of queued tasks, of one tenant or of all. */
  readonly queued: (tenant?: string) => number;
  /** Maximum number of queued tasks of a tenant in this entry. */
  readonly maxQueuedOf: (tenant: string) => number;
  /** Maximum number of queued tasks in this entry. */
  readonly maxQueued: number;
  /** Number of slots available to this entry. */
  readonly slots: () => number;
}

/** Minimum share of a tenant's rate assumed to remain beside smaller jobs. */
const MIN_REMAINING_RATE_SHARE = 0.05;

/** Maximum share of the deadline that the estimated response time may use. */
const MAX_DEADLINE_SHARE = 0.7;

/** Minimum retry delay returned to a refused caller. */
const MIN_RETRY_AFTER_MS = 100;

/** Number of tracked tenants at which idle ones are removed. */
const MAX_TENANTS = 10_000;

function createRefusal(
  code: RefusalCode,
  reason: string,
  retryAfterMs: number,
): Refusal {
  const clampedRetryAfterMs = Math.max(
    MIN_RETRY_AFTER_MS,
    Math.ceil(retryAfterMs),
  );
  return { code, verdict: "notRun", reason, retryAfterMs: clampedRetryAfterMs };
}

export function createAdmission(options: AdmissionOptions): Admission {
  const totalWork = createAdmittedWork();
  const workByTenant = new Map<string, AdmittedWork>();

  function removeIdleTenants(nowMs: number): void {
    for (const [tenant, work] of workByTenant) {
      if (work.isIdle(nowMs)) workByTenant.delete(tenant);
    }
  }

  /** The service rate to assume for a tenant that has not been served yet. */
  function expectedServiceRate(
    { workMs }: Submission,
    share: number,
    nowMs: number,
  ): number {
    const slots = Math.max(1, options.slots());
    return Math.max(
      share * slots,
      slots - totalWork.rateOfSmallerJobs(workMs, nowMs),
    );
  }

  function estimateWaitMs(submission: Submission, nowMs: number): number {
    const { tenant, workMs } = submission;
    const forecast = options.forecast(submission, nowMs);
    const initialRate = expectedServiceRate(submission, forecast.share, nowMs);
    const serviceRate = forecast.serviceRate(initialRate);
    const smallerJobsRate =
      workByTenant.get(tenant)?.rateOfSmallerJobs(workMs, nowMs) ?? 0;
    const remainingRate = Math.max(
      MIN_REMAINING_RATE_SHARE * serviceRate,
      serviceRate - smallerJobsRate,
    );
    return (forecast.workAheadMs + workMs) / Math.max(1e-3, remainingRate);
  }

  function checkQueueLimits(
    { tenant, tasks }: Submission,
    estimatedWaitMs: number,
  ): Refusal | undefined {
    const maxTenantTasks = options.maxQueuedOf(tenant);
    if (options.queued(tenant) + tasks > maxTenantTasks) {
      const reason =
        `more than ${maxTenantTasks} tasks of the tenant would wait`;
      return createRefusal("tooMuchQueued", reason, estimatedWaitMs);
    }
    if (options.queued() + tasks > options.maxQueued) {
      const reason = `more than ${options.maxQueued} tasks would wait`;
      return createRefusal("tooMuchQueued", reason, estimatedWaitMs);
    }
    return undefined;
  }

  function checkDeadline(
    { deadlineMs, longestTaskMs }: Submission,
    estimatedWaitMs: number,
  ): Refusal | undefined {
    const estimatedResponseMs = estimatedWaitMs + longestTaskMs;
    if (estimatedResponseMs <= MAX_DEADLINE_SHARE * deadlineMs) {
      return undefined;
    }
    const reason = `expected after ${Math.round(estimatedResponseMs)} ms, ` +
      `due after ${Math.round(deadlineMs)} ms`;
    return createRefusal(
      "deadlineUnreachable",
      reason,
      estimatedResponseMs - deadlineMs,
    );
  }

  return {
    evaluate(submission, nowMs) {
      const estimatedWaitMs = estimateWaitMs(submission, nowMs);
      return checkQueueLimits(submission, estimatedWaitMs) ??
        checkDeadline(submission, estimatedWaitMs);
    },

    recordAdmission({ tenant, workMs }, nowMs) {
      totalWork.add(workMs, nowMs);
      let work = workByTenant.get(tenant);
      if (work === undefined) {
        if (workByTenant.size >= MAX_TENANTS) removeIdleTenants(nowMs);
        work = createAdmittedWork();
        workByTenant.set(tenant, work);
      }
      work.add(workMs, nowMs);
    },
  };
}
