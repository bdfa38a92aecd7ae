/**
 * Decides whether a submission becomes a job. What is refused here has not run
 * and never will, so every refusal is a true `notRun`.
 *
 * A job is refused when its queue is full or when its deadline cannot be met.
 * The wait is estimated from the tenant's own work that goes before the job and
 * from the rate at which the tenant has been served lately, less what its
 * smaller jobs, which pass this one, are expected to take of that rate.
 */
import type { Refusal, RefusalCode } from "@coltsfootreach/types";
import { type AdmittedWork, createAdmittedWork } from "./admitted.ts";
import type { Outlook, Prospect } from "./tenant_queue.ts";

/** A submission as admission sees it. */
export interface Submission {
  readonly tenant: string;
  readonly tasks: number;
  /** Expected slot time of all tasks together. */
  readonly workMs: number;
  /** Expected run time of the longest task on the fastest side that fits. */
  readonly longestMs: number;
  readonly deadlineMs: number;
}

export interface Admission {
  /** The reason to turn the submission away, or undefined to admit it. */
  judge(submission: Submission, nowMs: number): Refusal | undefined;
  /** The submission has become a job. */
  admit(submission: Submission, nowMs: number): void;
}

export interface AdmissionOptions {
  /** What the queue tells of a job that would come now. */
  readonly outlook: (prospect: Prospect, nowMs: number) => Outlook;
  /** Tasks waiting, of one tenant or of all. */
  readonly queued: (tenant?: string) => number;
  /** Most tasks of a tenant that may wait here. */
  readonly maxQueuedOf: (tenant: string) => number;
  /** Most tasks that may wait here. */
  readonly maxQueued: number;
  /** Slots that this entry can count on. */
  readonly slots: () => number;
}

/** Least share of its rate that a tenant's smaller jobs are held to leave. */
const MIN_LEFT_SHARE = 0.05;

/** Share of the deadline that the estimated response may take. */
const USABLE_SHARE = 0.7;

/** Shortest time after which a refused caller is told to try again. */
const MIN_RETRY_MS = 100;

/** Tenants whose rates are kept before idle ones are dropped. */
const MAX_TENANTS = 10_000;

function refuse(
  code: RefusalCode,
  reason: string,
  retryAfterMs: number,
): Refusal {
  const after = Math.max(MIN_RETRY_MS, Math.ceil(retryAfterMs));
  return { code, verdict: "notRun", reason, retryAfterMs: after };
}

export function createAdmission(options: AdmissionOptions): Admission {
  const byAll = createAdmittedWork();
  const byTenant = new Map<string, AdmittedWork>();

  function dropIdle(nowMs: number): void {
    for (const [tenant, admitted] of byTenant) {
      if (admitted.isIdle(nowMs)) byTenant.delete(tenant);
    }
  }

  /** The rate at which a tenant can expect to be served before it was. */
  function expectedRate(
    { workMs }: Submission,
    share: number,
    nowMs: number,
  ): number {
    const slots = Math.max(1, options.slots());
    return Math.max(share * slots, slots - byAll.rateBelow(workMs, nowMs));
  }

  function waitMs(submission: Submission, nowMs: number): number {
    const { tenant, workMs } = submission;
    const outlook = options.outlook(submission, nowMs);
    const expected = expectedRate(submission, outlook.share, nowMs);
    const rate = outlook.servedPerMs(expected);
    const below = byTenant.get(tenant)?.rateBelow(workMs, nowMs) ?? 0;
    const left = Math.max(MIN_LEFT_SHARE * rate, rate - below);
    return (outlook.aheadMs + workMs) / Math.max(1e-3, left);
  }

  function judgeQueue(
    { tenant, tasks }: Submission,
    wait: number,
  ): Refusal | undefined {
    const most = options.maxQueuedOf(tenant);
    if (options.queued(tenant) + tasks > most) {
      const reason = `more than ${most} tasks of the tenant would wait`;
      return refuse("tooMuchQueued", reason, wait);
    }
    if (options.queued() + tasks > options.maxQueued) {
      const reason = `more than ${options.maxQueued} tasks would wait`;
      return refuse("tooMuchQueued", reason, wait);
    }
    return undefined;
  }

  function judgeDeadline(
    { deadlineMs, longestMs }: Submission,
    wait: number,
  ): Refusal | undefined {
    const response = wait + longestMs;
    if (response <= USABLE_SHARE * deadlineMs) return undefined;
    const reason = `expected after ${Math.round(response)} ms, ` +
      `due after ${Math.round(deadlineMs)} ms`;
    return refuse("deadlineUnreachable", reason, response - deadlineMs);
  }

  return {
    judge(submission, nowMs) {
      const wait = waitMs(submission, nowMs);
      return judgeQueue(submission, wait) ?? judgeDeadline(submission, wait);
    },

    admit({ tenant, workMs }, nowMs) {
      byAll.add(workMs, nowMs);
      let admitted = byTenant.get(tenant);
      if (admitted === undefined) {
        if (byTenant.size >= MAX_TENANTS) dropIdle(nowMs);
        admitted = createAdmittedWork();
        byTenant.set(tenant, admitted);
      }
      admitted.add(workMs, nowMs);
    },
  };
}
