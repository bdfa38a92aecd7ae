/**
 * What bounds the work of tenants at an entry: admission by queue and deadline,
 * quotas over all entries, and budgets for retries.
 */
import {
  createAdmission,
  createQuota,
  createRetryBudget,
  createTenantQueue,
  createUsage,
  type Queue,
  type Submission,
} from "@coltsfootreach/limit";
import type { ConfigurationLookup } from "@coltsfootreach/configure";
import type { RunTimeModel } from "@coltsfootreach/place";
import type { Job, Refusal, Rules, TenantDemand } from "@coltsfootreach/types";

/** Most tasks that wait in one entry. */
const MAX_QUEUED = 200_000;

export interface Limits {
  /** Why a new job is turned away; undefined when it may come in. */
  judge(job: Job, nowMs: number): Refusal | undefined;
  /** The job has come in. */
  admitted(job: Job, nowMs: number): void;
  /** A task was sent to a side, for the first time or again. */
  started(task: StartedTask, nowMs: number): void;
  /** Takes one retry from the budgets if they allow it. */
  tryRetry(tenant: string): boolean;
  /** Slot time that a tenant took lately over its fair share. */
  usageRatio(tenant: string, nowMs: number): number;
  /** What to tell the other entries of the demand for quotas. */
  demands(nowMs: number): readonly TenantDemand[];
  hear(entry: string, demands: readonly TenantDemand[], nowMs: number): void;
  forgetEntry(entry: string): void;
}

export interface StartedTask {
  readonly tenant: string;
  readonly class: string;
  readonly declaredMs: number;
}

/** Lets everything pass. */
export const NO_LIMITS: Limits = {
  judge: () => undefined,
  admitted() {},
  started() {},
  tryRetry: () => true,
  usageRatio: () => 0,
  demands: () => [],
  hear() {},
  forgetEntry() {},
};

export interface LimitOptions {
  readonly estate: ConfigurationLookup;
  readonly runTimes: RunTimeModel;
  rules(): Rules;
  /** Slots that this entry can count on. */
  slots(): number;
  /** Entries in the table, this one included. */
  entries(): number;
}

/** Limits, and the queue that they are about. */
export interface LimitedQueue {
  readonly queue: Queue;
  readonly limits: Limits;
}

export function createLimits(options: LimitOptions): LimitedQueue {
  const { estate, runTimes, slots, entries } = options;
  const weightOf = (tenant: string) => estate.tenant(tenant)?.weight ?? 1;
  const expectedMs = (task: StartedTask) =>
    runTimes.expectedMs(task.class, task.declaredMs);

  const quota = createQuota({
    limitPerSecondOf: (tenant) => estate.tenant(tenant)?.startsPerSecond ?? 0,
    entries,
    queued: (tenant) => queue.size(tenant),
  });
  const queue = createTenantQueue({
    weightOf,
    costOf: expectedMs,
    slots,
    nextStartAtMs: (tenant, nowMs) => quota.nextStartAtMs(tenant, nowMs),
  });
  /** The job judged last, which is admitted next if it is at all. */
  let judged:
    | { readonly job: Job; readonly submission: Submission }
    | undefined;
  const usage = createUsage({ slots, weightOf });
  const retries = createRetryBudget({
    share: () => options.rules().retryShare,
  });
  const admission = createAdmission({
    forecast: queue.forecast,
    queued: (tenant) => queue.size(tenant),
    maxQueuedOf(tenant) {
      const { maxQueued } = estate.tenant(tenant) ?? { maxQueued: MAX_QUEUED };
      return Math.ceil(maxQueued / Math.max(1, entries()));
    },
    maxQueued: MAX_QUEUED,
    slots,
  });

  function describe(job: Job): Submission {
    const times = job.tasks.map(({ declaredMs }) =>
      expectedMs({ tenant: job.tenant, class: job.class, declaredMs })
    );
    return {
      tenant: job.tenant,
      tasks: job.tasks.length,
      workMs: times.reduce((sum, ms) => sum + ms, 0),
      longestTaskMs: Math.max(...times),
      deadlineMs: job.deadlineMs,
    };
  }

  function isHeld(refusal: Refusal): boolean {
    return refusal.code === "deadlineUnreachable" &&
      options.rules().held.includes("shed");
  }

  return {
    queue,
    limits: {
      judge(job, nowMs) {
        // Without a side nothing is known of how fast work is done.
        if (slots() <= 0) return undefined;
        const submission = describe(job);
        judged = { job, submission };
        const refusal = admission.evaluate(submission, nowMs);
        return refusal === undefined || isHeld(refusal) ? undefined : refusal;
      },
      admitted(job, nowMs) {
        quota.recordArrivals(job.tenant, job.tasks.length, nowMs);
        const submission = judged?.job === job
          ? judged.submission
          : describe(job);
        judged = undefined;
        if (slots() > 0) admission.recordAdmission(submission, nowMs);
      },
      started(task, nowMs) {
        quota.start(task.tenant, nowMs);
        usage.start(task.tenant, expectedMs(task), nowMs);
        retries.start(task.tenant);
      },
      tryRetry: (tenant) => retries.tryRetry(tenant),
      usageRatio: (tenant, nowMs) => usage.fairShareRatio(tenant, nowMs),
      demands: (nowMs) => quota.demands(nowMs),
      hear: (entry, demands, nowMs) =>
        quota.recordDemands(entry, demands, nowMs),
      forgetEntry: (entry) => quota.removeEntry(entry),
    },
  };
}
