/**
 * Callers that hand jobs in over HTTP on open connections, and hand a job in
 * again, at any entry, when its answer was lost.
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

const FAIL_SHARE = 0.01;

/** A connection may close just as a request is sent on it. */
const LOSS_SLACK_MS = 200;

export interface CallersOptions {
  /** Addresses of the entries, as `IP:port`. */
  readonly addresses: readonly string[];
  readonly random: Random;
  readonly checker: Checker;
  readonly queue: Queue;
  readonly jobsPerSecond: number;
  /** Only planned faults come, which must cut no request. */
  readonly isPlanned: boolean;
  readonly taskProfiles: Map<string, readonly TaskProfile[]>;
}

export interface Callers {
  /** Jobs handed in and completed since the last call. */
  takeShare(): { readonly asked: number; readonly completed: number };
  stop(): void;
}

interface CallerJob {
  readonly id: string;
  readonly body: string;
  readonly leavesAt: number;
}

export function startCallers(options: CallersOptions): Callers {
  const { random, checker, taskProfiles: truths, queue } = options;
  const agents = options.addresses.map(() => new Agent({ keepAlive: true }));
  let made = 0;
  let asked = 0;
  let completed = 0;
  let isStopped = false;
  /** Gives up each submission that waits for its answer. */
  const open = new Set<() => void>();

  function makeJob(): CallerJob {
    made += 1;
    const id = made.toString(16).padStart(16, "0");
    const count = 1 + random.integerBelow(6);
    const resources = { cpu: 1600, memoryMb: 64, gpu: 0 };
    const tasks = Array.from({ length: count }, () => ({
      resources,
      workMs: 200 * random.factor(0.7),
      fails: random.chance(FAIL_SHARE),
    }));
    truths.set(id, tasks);
    checker.jobCreated({ id, tasks: count, attempts: queue.attempts });
    const longestMs = Math.max(...tasks.map(({ workMs }) => workMs));
    const estimateMs = longestMs * random.factor(0.4);
    const step = sampleStep({ count, resources, estimateMs });
    return {
      id,
      body: formatJob(id, step),
      leavesAt: performance.now() + DEADLINE_MS,
    };
  }

  function handIn(job: CallerJob): void {
    const leftMs = job.leavesAt - performance.now();
    if (leftMs <= 0 || isStopped) return;
    const entry = random.integerBelow(options.addresses.length);
    const [host, port] = options.addresses[entry]!.split(":");
    const call = request({
      host,
      port,
      path: queue.prefix + job.id,
      method: "POST",
      agent: agents[entry]!,
      headers: formatCallerHeaders(queue, leftMs),
    });
    const sentAt = performance.now();
    let isOver = false;

    function end(): void {
      isOver = true;
      clearTimeout(timer);
      open.delete(leave);
    }

    function lose(reason: string): void {
      if (isOver) return;
      end();
      const ms = performance.now() - sentAt;
      if (options.isPlanned && ms > LOSS_SLACK_MS && !isStopped) {
        checker.reportViolation(
          "LOST",
          `${job.id}: ${reason} after ${Math.round(ms)} ms`,
        );
      }
      checker.unanswered(job.id);
      setTimeout(() => handIn(job), SAMPLE_BOUNDS.resendMs);
    }

    function leave(): void {
      end();
      checker.unanswered(job.id);
      call.destroy();
    }

    const timer = setTimeout(leave, leftMs);
    open.add(leave);
    call.on("error", (error) => lose(error.message));
    call.on("response", async (response) => {
      let text = "";
      try {
        for await (const chunk of response) text += chunk;
      } catch {
        // The connection broke midway, which "error" has not told.
        lose("cut midway");
        return;
      }
      if (isOver) return;
      end();
      answered(job, response.statusCode ?? 0, text);
    });
    call.end(job.body);
  }

  function answered(job: CallerJob, status: number, text: string): void {
    if (status === 200) {
      const isDone = isJobCompleted(text);
      if (isDone) completed += 1;
      checker.answered(
        job.id,
        isDone
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
      setTimeout(() => handIn(job), SAMPLE_BOUNDS.resendMs);
    } else {
      checker.reportViolation("ANSWER", `${job.id}: ${status} ${text}`);
    }
  }

  function next(): void {
    if (isStopped) return;
    asked += 1;
    handIn(makeJob());
    const gapMs = -Math.log(1 - random.next()) * 1000 / options.jobsPerSecond;
    setTimeout(next, gapMs);
  }

  next();
  return {
    takeShare() {
      const share = { asked, completed };
      asked = 0;
      completed = 0;
      return share;
    },
    stop() {
      isStopped = true;
      for (const leave of [...open]) leave();
      for (const agent of agents) agent.destroy();
    },
  };
}
