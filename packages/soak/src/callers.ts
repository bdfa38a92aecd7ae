/**
 * Simulated callers that submit jobs over HTTP keep-alive connections, and
 * resubmit a job to a random entry when its response was lost.
 */
import { Agent, request } from "node:http";
import {
  formatCallerHeaders,
  formatJob,
  isJobCompleted,
} from "@coltsfootreach/platform";
import type { Queue } from "@coltsfootreach/run";
import { SAMPLE_BOUNDS, sampleStep } from "@coltsfootreach/standin";
import type { Checker, Random, TaskProfile } from "@coltsfootreach/simulate";

const DEADLINE_MS = 2500;

const TASK_FAILURE_PROBABILITY = 0.01;

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
  /** Returns and resets the numbers of jobs submitted and completed. */
  takeCounts(): { readonly submitted: number; readonly completed: number };
  stop(): void;
}

interface CallerJob {
  readonly id: string;
  readonly body: string;
  readonly deadlineAt: number;
}

export function startCallers(options: CallersOptions): Callers {
  const { random, checker, taskProfilesByJob, queue } = options;
  const agents = options.addresses.map(() => new Agent({ keepAlive: true }));
  let createdJobs = 0;
  let submitted = 0;
  let completed = 0;
  let isStopped = false;
  /** Cancels each submission whose response is pending. */
  const pendingCancels = new Set<() => void>();

  function createJob(): CallerJob {
    createdJobs += 1;
    const id = createdJobs.toString(16).padStart(16, "0");
    const count = 1 + random.integerBelow(6);
    const resources = { cpu: 1600, memoryMb: 64, gpu: 0 };
    const tasks = Array.from({ length: count }, () => ({
      resources,
      workMs: 200 * random.factor(0.7),
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
      deadlineAt: performance.now() + DEADLINE_MS,
    };
  }

  function submitJob(job: CallerJob): void {
    const remainingMs = job.deadlineAt - performance.now();
    if (remainingMs <= 0 || isStopped) return;
    const entry = random.integerBelow(options.addresses.length);
    const [host, port] = options.addresses[entry]!.split(":");
    const httpRequest = request({
      host,
      port,
      path: queue.prefix + job.id,
      method: "POST",
      agent: agents[entry]!,
      headers: formatCallerHeaders(queue, remainingMs),
    });
    const sentAt = performance.now();
    let isSettled = false;

    function settle(): void {
      isSettled = true;
      clearTimeout(timer);
      pendingCancels.delete(cancel);
    }

    function retryLostRequest(reason: string): void {
      if (isSettled) return;
      settle();
      const elapsedMs = performance.now() - sentAt;
      if (
        options.isPlannedOnly && elapsedMs > CONNECTION_CLOSE_TOLERANCE_MS &&
        !isStopped
      ) {
        checker.reportViolation(
          "LOST",
          `${job.id}: ${reason} after ${Math.round(elapsedMs)} ms`,
        );
      }
      checker.unanswered(job.id);
      setTimeout(() => submitJob(job), SAMPLE_BOUNDS.resendMs);
    }

    function cancel(): void {
      settle();
      checker.unanswered(job.id);
      httpRequest.destroy();
    }

    const timer = setTimeout(cancel, remainingMs);
    pendingCancels.add(cancel);
    httpRequest.on("error", (error) => retryLostRequest(error.message));
    httpRequest.on("response", async (response) => {
      let text = "";
      try {
        for await (const chunk of response) text += chunk;
      } catch {
        // A connection lost mid-response emits no "error" on the request.
        retryLostRequest("cut midway");
        return;
      }
      if (isSettled) return;
      settle();
      handleResponse(job, response.statusCode ?? 0, text);
    });
    httpRequest.end(job.body);
  }

  function handleResponse(job: CallerJob, status: number, text: string): void {
    if (status === 200) {
      const hasCompleted = isJobCompleted(text);
      if (hasCompleted) completed += 1;
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
    } else if (status === 504) {
      checker.unanswered(job.id);
      setTimeout(() => submitJob(job), SAMPLE_BOUNDS.resendMs);
    } else {
      checker.reportViolation("ANSWER", `${job.id}: ${status} ${text}`);
    }
  }

  function submitNext(): void {
    if (isStopped) return;
    submitted += 1;
    submitJob(createJob());
    const gapMs = -Math.log(1 - random.next()) * 1000 / options.jobsPerSecond;
    setTimeout(submitNext, gapMs);
  }

  submitNext();
  return {
    takeCounts() {
      const counts = { submitted, completed };
      submitted = 0;
      completed = 0;
      return counts;
    },
    stop() {
      isStopped = true;
      for (const cancel of [...pendingCancels]) cancel();
      for (const agent of agents) agent.destroy();
    },
  };
}
