/** Checks invariants on what callers and backend servers observe. */
import type { Answer } from "@coltsfootreach/dispatch";
import { keyOfTask, type RunOutcome, type RunRef } from "@coltsfootreach/run";
import type { ServerStandin } from "./server_standin.ts";

export interface Violation {
  readonly rule: string;
  readonly at: number;
  readonly what: string;
}

export interface JobSummary {
  readonly id: string;
  readonly tasks: number;
  readonly attempts: number;
}

export interface Checker {
  jobCreated(job: JobSummary): void;
  started(server: ServerStandin, ref: RunRef): void;
  ended(server: ServerStandin, ref: RunRef, end: RunOutcome): void;
  reportViolation(rule: string, what: string): void;
  /** A submission of the job was answered. */
  answered(job: string, answer: Answer): void;
  /** A submission of the job ended without an answer. */
  unanswered(job: string): void;
  breaches(): readonly Violation[];
  counts(): CheckerCounts;
}

export interface CheckerCounts {
  readonly jobs: number;
  readonly completed: number;
  readonly failed: number;
  readonly refused: number;
  readonly starts: number;
}

interface ObservedJob {
  readonly summary: JobSummary;
  hasStarted: boolean;
  /** At least one submission ended in something other than a refusal. */
  isPossiblyAccepted: boolean;
  readonly done: Set<string>;
  readonly failures: Map<string, number>;
}

export interface CheckerOptions {
  now(): number;
  trace(what: string): void;
}

export function createChecker({ now, trace }: CheckerOptions): Checker {
  const jobs = new Map<string, ObservedJob>();
  /** Servers that currently run a task, by task. */
  const running = new Map<string, Set<ServerStandin>>();
  const breaches: Violation[] = [];
  const counts = { jobs: 0, completed: 0, failed: 0, refused: 0, starts: 0 };

  function reportViolation(rule: string, what: string): void {
    breaches.push({ rule, at: now(), what });
  }

  function checkCompleted(job: ObservedJob): void {
    if (job.done.size < job.summary.tasks) {
      reportViolation(
        "MIXED",
        `${job.summary.id}: ${job.done.size} of ${job.summary.tasks}`,
      );
    }
  }

  function checkFailed(job: ObservedJob): void {
    const maxFailures = Math.max(0, ...job.failures.values());
    if (maxFailures < job.summary.attempts) {
      reportViolation(
        "FAILED",
        `${job.summary.id}: ${maxFailures} of ${job.summary.attempts}`,
      );
    }
  }

  return {
    jobCreated(summary) {
      counts.jobs += 1;
      jobs.set(summary.id, {
        summary,
        hasStarted: false,
        isPossiblyAccepted: false,
        done: new Set(),
        failures: new Map(),
      });
    },
    started(server, ref) {
      counts.starts += 1;
      const key = keyOfTask(ref.task);
      trace(`${key} run ${ref.run} started on ${server.id}`);
      const servers = running.get(key) ?? new Set();
      running.set(key, servers);
      for (const other of servers) {
        if (other.isUp()) {
          reportViolation("TWICE", `${key}: ${other.id}, ${server.id}`);
        }
      }
      servers.add(server);
      const job = jobs.get(ref.task.job);
      if (job === undefined) reportViolation("UNASKED", key);
      else job.hasStarted = true;
    },
    ended(server, ref, end) {
      const key = keyOfTask(ref.task);
      trace(`${key} run ${ref.run} ended ${end} on ${server.id}`);
      running.get(key)?.delete(server);
      const job = jobs.get(ref.task.job);
      if (end === "done") job?.done.add(key);
      if (end === "failed") {
        job?.failures.set(key, (job.failures.get(key) ?? 0) + 1);
      }
    },
    reportViolation,
    answered(id, answer) {
      const job = jobs.get(id);
      trace(`${id} answered ${answer.kind}`);
      if (job === undefined) return;
      if (answer.kind !== "refused") job.isPossiblyAccepted = true;
      if (answer.kind === "completed") {
        counts.completed += 1;
        checkCompleted(job);
      } else if (answer.kind === "failed") {
        counts.failed += 1;
        if (answer.reason === "attemptsUsed") checkFailed(job);
      } else if (answer.kind === "refused") {
        counts.refused += 1;
      }
    },
    unanswered(id) {
      trace(`${id} unanswered`);
      const job = jobs.get(id);
      if (job !== undefined) job.isPossiblyAccepted = true;
    },
    breaches() {
      for (const job of jobs.values()) {
        if (job.hasStarted && !job.isPossiblyAccepted) {
          reportViolation("REFUSED", job.summary.id);
        }
      }
      return breaches;
    },
    counts: () => counts,
  };
}
