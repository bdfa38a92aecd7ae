/**
 * Jobs, tasks and answers as exposed to callers. The caller chooses the
 * idempotency key of a job: a second submission with the same key is treated as
 * the same submission.
 */
import type { Verdict } from "./verdict.ts";

/** The compute resources that a task requires or a worker provides. */
export interface ComputeResources {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** One task of a job. Its index is its position in the job. */
export interface Task {
  /** Opaque to the system; passed to the backend server unchanged. */
  readonly body: string;
  readonly size: ComputeResources;
  /** The caller's estimate of the run time, in milliseconds. */
  readonly declaredMs: number;
  readonly idempotent: boolean;
}

/** A submission of 1 to 540 tasks that share one answer. */
export interface Job {
  /** Unique within the tenant; the idempotency key of the submission. */
  readonly key: string;
  readonly tenant: string;
  readonly class: string;
  /** Time allowed for the answer, in milliseconds from receipt. */
  readonly deadlineMs: number;
  /** When the caller first submitted this key, in Unix milliseconds. */
  readonly firstSubmittedAtMs?: number | undefined;
  readonly tasks: readonly Task[];
}

/** Identifies a job across tenants. */
export type JobId = string;

/** Builds a job ID. Neither the tenant nor the key may contain a line break. */
export function jobId(job: Pick<Job, "tenant" | "key">): JobId {
  return `${job.tenant}\n${job.key}`;
}

/** Identifies one task of one job. */
export interface TaskId {
  readonly job: JobId;
  readonly index: number;
}

/** How one task ended. */
export interface TaskOutcome {
  readonly index: number;
  readonly state: "complete" | "failed";
  readonly verdict: Verdict;
  /** The backend server's response, if there is one. */
  readonly body?: string | undefined;
  /** Why the task failed. */
  readonly reason?: string | undefined;
  /** Run time on the backend server, in milliseconds. */
  readonly runMs?: number | undefined;
  /** The backend server that ran the task. */
  readonly server?: string | undefined;
}

/** The complete answer to a job, with outcomes in task order. */
export interface Answer {
  readonly key: string;
  readonly tenant: string;
  readonly state: "complete" | "failed";
  /** Whether the answer became ready after the deadline. */
  readonly late: boolean;
  /** `notRun` if no task ran, `mayHaveRun` if any task may have run. */
  readonly verdict: Verdict;
  readonly outcomes: readonly TaskOutcome[];
}

/** Why a submission was rejected before a job was created. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly verdict: Verdict;
  readonly reason: string;
  /** Delay after which a retry may succeed, in milliseconds. */
  readonly retryAfterMs?: number | undefined;
}

export type RefusalCode =
  | "malformed"
  | "unknownTenant"
  | "unknownClass"
  | "conflict"
  | "tooOld"
  | "tooMuchQueued"
  | "deadlineUnreachable"
  | "overQuota"
  | "draining"
  | "undecided"
  | "unknownJob";

/** The reply to a submission, a read or a cancellation. */
export type Reply =
  | { readonly kind: "answered"; readonly answer: Answer }
  | { readonly kind: "pending"; readonly done: number; readonly of: number }
  | { readonly kind: "refused"; readonly refusal: Refusal };
