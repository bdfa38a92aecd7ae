/**
 * Simulated callers. They submit jobs and wait for the answers, and resubmit a
 * job after their connection broke or an answer left the outcome unknown. Some
 * start over when no answer came in time.
 */
import type { Answer } from "@coltsfootreach/dispatch";
import type { Job, Queue } from "@coltsfootreach/run";
import { SAMPLE_BOUNDS, sampleStep } from "@coltsfootreach/standin";
import type { Checker } from "./checker.ts";
import type { SimulatedClock } from "./clock.ts";
import type { Fleet } from "./fleet.ts";
import type { Random } from "./random.ts";
import type { TaskProfile } from "./server_standin.ts";

export interface CallerOptions {
  readonly clock: SimulatedClock;
  readonly random: Random;
  readonly fleet: Fleet;
  readonly checker: Checker;
  readonly queue: Queue;
  readonly jobsPerSecond: number;
  readonly untilMs: number;
  /** How often a caller starts over after no answer came in time. */
  readonly maxTimeouts: number;
  readonly shape: JobShape;
  /** Actual resources and run times of the tasks by job; filled by the callers. */
  readonly taskProfiles: Map<string, readonly TaskProfile[]>;
}

export interface JobShape {
  readonly meanTasks: number;
  readonly meanMs: number;
  readonly cpu: number;
  /** Share of tasks whose runs fail without an injected fault. */
  readonly failureRate: number;
}

export interface Callers {
  /** Number of jobs completed within their response time objective. */
  inTime(): number;
}

/** How long a caller goes on submitting its job. */
interface Patience {
  readonly firstSubmittedAt: number;
  readonly timeoutAt: number;
  /** How often no answer came in time. */
  readonly timeouts: number;
}

export function simulateCallers(options: CallerOptions): Callers {
  const { clock, random, fleet, checker, queue, shape, taskProfiles } = options;
  let jobCount = 0;
  let inTime = 0;

  function makeJob(): Job {
    jobCount += 1;
    const id = `job-${queue.name}-${jobCount}`;
    const count = 1 + random.integerBelow(shape.meanTasks * 2 - 1);
    const resources = { cpu: shape.cpu, memoryMb: 64, gpu: 0 };
    const tasks = Array.from({ length: count }, () => ({
      resources,
      workMs: shape.meanMs * random.factor(0.5),
      fails: random.chance(shape.failureRate),
    }));
    taskProfiles.set(id, tasks);
    checker.jobCreated({ id, tasks: count, attempts: queue.attempts });
    const longestMs = Math.max(...tasks.map((task) => task.workMs));
    return {
      id,
      payload: id,
      timeoutMs: 3 * (longestMs * queue.slackFactor + queue.extraMs),
      steps: [sampleStep({
        count,
        resources,
        estimateMs: longestMs * random.factor(0.4),
      })],
    };
  }

  function submit(job: Job, patience: Patience): void {
    const { firstSubmittedAt, timeoutAt } = patience;
    if (clock.now() >= timeoutAt) return;
    const entry = fleet.entries[random.integerBelow(fleet.entries.length)]!;
    let isSettled = false;

    function resubmit(): void {
      isSettled = true;
      checker.unanswered(job.id);
      submitLater(patience);
    }

    function submitLater(next: Patience): void {
      clock.after(SAMPLE_BOUNDS.resendMs, () => submit(job, next));
    }

    function startOver(): void {
      if (patience.timeouts >= options.maxTimeouts) return;
      submitLater({
        firstSubmittedAt,
        timeoutAt: clock.now() + SAMPLE_BOUNDS.resendMs + job.timeoutMs,
        timeouts: patience.timeouts + 1,
      });
    }

    function answered(answer: Answer): void {
      if (isSettled) return;
      isSettled = true;
      checker.answered(job.id, answer);
      const objectiveMs = (job.timeoutMs / 3) + 1;
      if (
        answer.kind === "completed" &&
        clock.now() - firstSubmittedAt <= objectiveMs
      ) {
        inTime += 1;
      }
      if (answer.kind === "timedOut") resubmit();
    }

    const caller = { answered, broken: () => isSettled || resubmit() };
    const submission = entry.submit(queue, job, caller);
    if (submission === undefined) {
      submitLater(patience);
      return;
    }
    clock.after(timeoutAt - clock.now(), () => {
      if (isSettled) return;
      isSettled = true;
      checker.unanswered(job.id);
      submission.abandon();
      startOver();
    });
  }

  function submitNext(): void {
    if (clock.now() >= options.untilMs) return;
    const job = makeJob();
    const now = clock.now();
    const timeoutAt = now + job.timeoutMs;
    submit(job, { firstSubmittedAt: now, timeoutAt, timeouts: 0 });
    const gapMs = -Math.log(1 - random.next()) * 1000 / options.jobsPerSecond;
    clock.after(gapMs, submitNext);
  }

  clock.after(500, submitNext);
  return {
    inTime: () => inTime,
  };
}
