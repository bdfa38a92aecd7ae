/**
 * Callers that hand in jobs, wait, and hand a job in again after they lost
 * their connection or were told that its fate is unknown.
 */
import type { Answer } from "@coltsfootreach/dispatch";
import type { Job, Queue } from "@coltsfootreach/run";
import { SAMPLE_BOUNDS, sampleStep } from "@coltsfootreach/standin";
import type { Checker } from "./checker.ts";
import type { SimulatedClock } from "./clock.ts";
import type { Fleet } from "./fleet.ts";
import type { Random } from "./random.ts";
import type { TaskTruth } from "./server_standin.ts";

export interface CallerOptions {
  readonly clock: SimulatedClock;
  readonly random: Random;
  readonly fleet: Fleet;
  readonly checker: Checker;
  readonly queue: Queue;
  readonly jobsPerSecond: number;
  readonly untilMs: number;
  readonly shape: JobShape;
  /** What each task really takes, by job; filled as jobs are made. */
  readonly truths: Map<string, readonly TaskTruth[]>;
}

export interface JobShape {
  readonly meanTasks: number;
  readonly meanMs: number;
  readonly cpu: number;
  /** Share of tasks whose run fails by itself. */
  readonly failShare: number;
}

export interface Callers {
  /** Jobs completed within their objective. */
  inTime(): number;
}

export function playCallers(options: CallerOptions): Callers {
  const { clock, random, fleet, checker, queue, shape, truths } = options;
  let made = 0;
  let inTime = 0;

  function makeJob(): Job {
    made += 1;
    const id = `job-${queue.name}-${made}`;
    const count = 1 + random.below(shape.meanTasks * 2 - 1);
    const resources = { cpu: shape.cpu, memoryMb: 64, gpu: 0 };
    const tasks = Array.from({ length: count }, () => ({
      resources,
      workMs: shape.meanMs * random.factor(0.5),
      fails: random.chance(shape.failShare),
    }));
    truths.set(id, tasks);
    checker.jobMade({ id, tasks: count, attempts: queue.attempts });
    const longest = Math.max(...tasks.map((task) => task.workMs));
    return {
      id,
      payload: id,
      timeoutMs: 3 * (longest * queue.slackFactor + queue.extraMs),
      steps: [sampleStep({
        count,
        resources,
        estimateMs: longest * random.factor(0.4),
      })],
    };
  }

  function handIn(job: Job, firstAt: number): void {
    const leavesAt = firstAt + job.timeoutMs;
    if (clock.now() >= leavesAt) return;
    const entry = fleet.entries[random.below(fleet.entries.length)]!;
    let isOver = false;

    function sendAgain(): void {
      isOver = true;
      checker.unanswered(job.id);
      clock.after(SAMPLE_BOUNDS.resendMs, () => handIn(job, firstAt));
    }

    function answered(answer: Answer): void {
      if (isOver) return;
      isOver = true;
      checker.answered(job.id, answer);
      const dueMs = (job.timeoutMs / 3) + 1;
      if (answer.kind === "completed" && clock.now() - firstAt <= dueMs) {
        inTime += 1;
      }
      if (answer.kind === "timedOut") sendAgain();
    }

    const caller = { answered, broken: () => isOver || sendAgain() };
    const submitted = entry.submit(queue, job, caller);
    if (submitted === undefined) {
      clock.after(SAMPLE_BOUNDS.resendMs, () => handIn(job, firstAt));
      return;
    }
    clock.after(leavesAt - clock.now(), () => {
      if (isOver) return;
      isOver = true;
      checker.unanswered(job.id);
      submitted.abandon();
    });
  }

  function next(): void {
    if (clock.now() >= options.untilMs) return;
    handIn(makeJob(), clock.now());
    const gapMs = -Math.log(1 - random.next()) * 1000 / options.jobsPerSecond;
    clock.after(gapMs, next);
  }

  clock.after(500, next);
  return {
    inTime: () => inTime,
  };
}
