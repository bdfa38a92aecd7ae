/**
 * Jobs, tasks and answers as callers see them. A job is submitted under a key
 * that the caller chooses; a second submission under the same key is the same
 * submission.
 */
import type { Verdict } from "./verdict.ts";

/** What a task declares to need on a worker. */
export interface Size {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** One task of a job; its index is its position in the job. */
export interface Task {
  /** Opaque to the system; handed to the backend server as it is. */
  readonly body: string;
  readonly size: Size;
  /** The caller's estimate of the run time in milliseconds. */
  readonly declaredMs: number;
  readonly idempotent: boolean;
}

/** A submission: 1 to 540 tasks that are answered together. */
export interface Job {
  /** Unique within the tenant; the idempotency key of the submission. */
  readonly key: string;
  readonly tenant: string;
  readonly class: string;
  /** Time left for the answer in milliseconds, from receipt. */
  readonly deadlineMs: number;
  /** When the caller first submitted this key, in Unix milliseconds. */
  readonly firstSubmittedAtMs?: number | undefined;
  readonly tasks: readonly Task[];
}

/** Names a job across tenants. */
export type JobId = string;

/** Names a job across tenants; neither part may hold a line break. */
export function jobId(job: Pick<Job, "tenant" | "key">): JobId {
  return `${job.tenant}\n${job.key}`;
}

/** Names one task of one job. */
export interface TaskName {
  readonly job: JobId;
  readonly index: number;
}

/** How one task ended. */
export interface TaskOutcome {
  readonly index: number;
  readonly state: "complete" | "failed";
  readonly verdict: Verdict;
  /** The backend server's answer, when there is one. */
  readonly body?: string | undefined;
  /** Why the task failed. */
  readonly reason?: string | undefined;
  /** Run time on the backend server in milliseconds. */
  readonly runMs?: number | undefined;
  /** The backend server that ran it. */
  readonly server?: string | undefined;
}

/** The whole answer to a job, with outcomes in task order. */
export interface Answer {
  readonly key: string;
  readonly tenant: string;
  readonly state: "complete" | "failed";
  /** True when the answer was ready after the deadline. */
  readonly late: boolean;
  /** `notRun` when no task ran, `mayHaveRun` when any task is in doubt. */
  readonly verdict: Verdict;
  readonly outcomes: readonly TaskOutcome[];
}

/** Why a submission was turned away before it became a job. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly verdict: Verdict;
  readonly reason: string;
  /** When a new try may succeed, in milliseconds from now. */
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
