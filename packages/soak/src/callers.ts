/**
 * Simulated callers that submit jobs over HTTP keep-alive connections. A caller
 * that got no response in time, lost its connection or was told that the outcome
 * is unknown submits its job again to a random entry.
 */
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  formatCallerHeaders,
  formatJob,
  isJobCompleted,
} from "@coltsfootreach/platform";
import type { Queue } from "@coltsfootreach/run";
import { SAMPLE_BOUNDS, sampleStep } from "@coltsfootreach/standin";
import type { Checker, Random, TaskProfile } from "@coltsfootreach/simulate";
import { sendSubmission, type SubmissionOutcome } from "./http_submission.ts";

/** A caller waits at least this long for the response to one submission... */
const MIN_RESPONSE_TIMEOUT_MS = 1500;

/** ...and at least this many times as long as its longest task works. */
const RESPONSE_TIMEOUT_FACTOR = 3;

const SHORT_TASK_MS = 200;

/** Long enough for some runs to outlast the time that a server drains. */
const LONG_TASK_MS = 1500;

const LONG_JOB_PROBABILITY = 0.15;

const MAX_SUBMISSIONS = 4;

const TASK_FAILURE_PROBABILITY = 0.01;

/** Time for jobs to be completed that were submitted during a measurement. */
const SETTLE_MS = 5000;

const SETTLE_POLL_INTERVAL_MS = 100;

/** An idle connection may close at the moment a request is sent on it. */
const CONNECTION_CLOSE_TOLERANCE_MS = 200;

export interface CallersOptions {
  /** Addresses of the entries, as `IP:port`. */
  readonly addresses: readonly string[];
  readonly random: Random;
  readonly checker: Checker;
  readonly queue: Queue;
  readonly jobsPerSecond: number;
  /** Only planned faults are injected, which must not interrupt any request. */
  readonly isPlannedOnly: boolean;
  readonly taskProfilesByJob: Map<string, readonly TaskProfile[]>;
}

export interface Callers {
  /**
   * Counts the jobs that are submitted in the next `forMs`, and those of them
   * that are completed, waiting for the latter up to `SETTLE_MS` longer. Then no
   * further jobs are submitted.
   */
  measure(forMs: number): Promise<JobCounts>;
  stop(): void;
}

export interface JobCounts {
  readonly submitted: number;
  readonly completed: number;
}

interface CallerJob {
  readonly id: string;
  readonly body: string;
  readonly responseTimeoutMs: number;
}

export function startCallers(options: CallersOptions): Callers {
  const { random, checker, taskProfilesByJob, queue } = options;
  const agents = options.addresses.map(() => new Agent({ keepAlive: true }));
  let createdJobs = 0;
  /** Jobs of the current measurement; undefined while there is none. */
  let measuredJobs: Set<string> | undefined;
  let completed = 0;
  let isSubmitting = true;
  let isStopped = false;
  /** Cancels the submission whose response is pending, by job. */
  const pending = new Map<string, () => void>();

  function createJob(): CallerJob {
    createdJobs += 1;
    const id = createdJobs.toString(16).padStart(16, "0");
    const count = 1 + random.integerBelow(6);
    const meanMs = random.chance(LONG_JOB_PROBABILITY)
      ? LONG_TASK_MS
      : SHORT_TASK_MS;
    const resources = { cpu: 1600, memoryMb: 64, gpu: 0 };
    const tasks = Array.from({ length: count }, () => ({
      resources,
      workMs: meanMs * random.factor(0.7),
      fails: random.chance(TASK_FAILURE_PROBABILITY),
    }));
    taskProfilesByJob.set(id, tasks);
    checker.jobCreated({ id, tasks: count, attempts: queue.attempts });
    const longestMs = Math.max(...tasks.map(({ workMs }) => workMs));
    const estimateMs = longestMs * random.factor(0.4);
    const step = sampleStep({ count, resources, estimateMs });
    return {
      id,
      body: formatJob(id, step),
      responseTimeoutMs: Math.max(
        MIN_RESPONSE_TIMEOUT_MS,
        longestMs * RESPONSE_TIMEOUT_FACTOR,
      ),
    };
  }

  function submitJob(job: CallerJob, submission = 1): void {
    if (submission > MAX_SUBMISSIONS || isStopped) return;
    const entry = random.integerBelow(options.addresses.length);
    const sentAt = performance.now();
    const cancel = sendSubmission({
      address: options.addresses[entry]!,
      path: queue.prefix + job.id,
      headers: formatCallerHeaders(queue, job.responseTimeoutMs),
      body: job.body,
      agent: agents[entry]!,
      timeoutMs: job.responseTimeoutMs,
      settled(outcome) {
        pending.delete(job.id);
        if (outcome.kind === "lost") checkLostRequest(job, outcome, sentAt);
        const isKnown = outcome.kind === "response" &&
          handleResponse(job, outcome.status, outcome.text);
        if (isKnown) return;
        checker.unanswered(job.id);
        setTimeout(
          () => submitJob(job, submission + 1),
          SAMPLE_BOUNDS.resendMs,
        );
      },
    });
    pending.set(job.id, cancel);
  }

  /** Planned faults must not interrupt a request. */
  function checkLostRequest(
    job: CallerJob,
    { reason }: Extract<SubmissionOutcome, { kind: "lost" }>,
    sentAt: number,
  ): void {
    const elapsedMs = performance.now() - sentAt;
    if (!options.isPlannedOnly || isStopped) return;
    if (elapsedMs <= CONNECTION_CLOSE_TOLERANCE_MS) return;
    const what = `${job.id}: ${reason} after ${Math.round(elapsedMs)} ms`;
    checker.reportViolation("LOST", what);
  }

  /** Returns whether the response settles what became of the job. */
  function handleResponse(
    job: CallerJob,
    status: number,
    text: string,
  ): boolean {
    if (status === 504) return false;
    if (status === 200) {
      const hasCompleted = isJobCompleted(text);
      if (hasCompleted && measuredJobs?.has(job.id)) completed += 1;
      checker.answered(
        job.id,
        hasCompleted
          ? { kind: "completed" }
          : { kind: "failed", reason: "attemptsUsed" },
      );
    } else if (status === 429 || status === 503) {
      checker.answered(job.id, {
        kind: "refused",
        reason: "overload",
        retryAfterMs: 0,
      });
    } else {
      checker.reportViolation("ANSWER", `${job.id}: ${status} ${text}`);
    }
    return true;
  }

  function submitNext(): void {
    if (!isSubmitting) return;
    const job = createJob();
    measuredJobs?.add(job.id);
    submitJob(job);
    const gapMs = -Math.log(1 - random.next()) * 1000 / options.jobsPerSecond;
    setTimeout(submitNext, gapMs);
  }

  submitNext();
  return {
    async measure(forMs) {
      const measured = new Set<string>();
      measuredJobs = measured;
      completed = 0;
      await sleep(forMs);
      isSubmitting = false;
      const deadline = performance.now() + SETTLE_MS;
      const isPending = () => [...measured].some((job) => pending.has(job));
      while (isPending() && performance.now() < deadline) {
        await sleep(SETTLE_POLL_INTERVAL_MS);
      }
      return { submitted: measured.size, completed };
    },
    stop() {
      isSubmitting = false;
      isStopped = true;
      for (const [job, cancel] of pending) {
        cancel();
        checker.unanswered(job);
      }
      for (const agent of agents) agent.destroy();
    },
  };
}
