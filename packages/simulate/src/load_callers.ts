/**
 * Simulated callers of several queues. Each class of callers submits jobs at its
 * own rate to entries chosen by weight, and resubmits a job after its connection
 * broke, as callers without retries do. Outcomes are judged as a caller would:
 * by the time since the first submission against the actual run time.
 */
import type { Answer } from "@coltsfootreach/dispatch";
import type { Job, Queue } from "@coltsfootreach/run";
import { SAMPLE_BOUNDS, sampleStep } from "@coltsfootreach/standin";
import type { Checker } from "./checker.ts";
import type { SimulatedClock } from "./clock.ts";
import type { Fleet } from "./fleet.ts";
import type { Random } from "./random.ts";
import type { TaskProfile } from "./server_standin.ts";

/** Callers of one queue, all with jobs of one kind. */
export interface CallerClass {
  readonly queue: Queue;
  readonly jobsPerSecond: number;
  readonly meanTasks: number;
  readonly meanMs: number;
  /** Cores per task, in thousandths. */
  readonly cpu: number;
  /** Share of jobs whose every run fails. */
  readonly poisonShare?: number | undefined;
}

/** What became of one job, as its caller saw it. */
export interface JobOutcome {
  readonly queue: string;
  readonly tasks: number;
  readonly submittedAt: number;
  /** Core-milliseconds of actual work. */
  readonly work: number;
  readonly result: "inTime" | "late" | "tooLate" | "refused" | "unanswered";
  /** Time from the first submission to the answer, or to giving up. */
  readonly ms: number;
}

export interface LoadCallersOptions {
  readonly clock: SimulatedClock;
  readonly random: Random;
  readonly fleet: Fleet;
  readonly checker: Checker;
  readonly classes: readonly CallerClass[];
  readonly untilMs: number;
  /** Declared run times are off by a factor between `e ** ±spread` per job. */
  readonly estimateSpread: number;
  /** Relative share of the callers of each entry; default: equal. */
  readonly entryWeights?: readonly number[] | undefined;
  /** Factor on the rate of all classes at a time; default 1. */
  rateFactor?(atMs: number): number;
  /** Actual resources and run times of the tasks by job; filled here. */
  readonly taskProfiles: Map<string, readonly TaskProfile[]>;
  ended(outcome: JobOutcome): void;
}

/** An answer after this multiple of the objective is of no use to the caller. */
const USEFUL_FACTOR = 3;

/** Time that callers wait beyond the last useful answer. */
const EXTRA_TIMEOUT_MS = 1500;

interface CallerJob {
  readonly job: Job;
  readonly queue: Queue;
  readonly objectiveMs: number;
  readonly tasks: number;
  readonly work: number;
  readonly submittedAt: number;
}

export function simulateLoadCallers(options: LoadCallersOptions): void {
  const { clock, random, fleet, checker } = options;
  let jobCount = 0;

  function makeJob(callers: CallerClass): CallerJob {
    const { queue, cpu } = callers;
    jobCount += 1;
    const id = `${queue.name}-${jobCount}`;
    const count = 1 + random.integerBelow(callers.meanTasks * 2 - 1);
    const resources = { cpu, memoryMb: 64, gpu: 0 };
    const isPoison = random.chance(callers.poisonShare ?? 0);
    const workMs = callers.meanMs * random.factor(0.6);
    const tasks = Array.from({ length: count }, () => ({
      resources,
      workMs: workMs * random.factor(0.15),
      fails: isPoison,
    }));
    options.taskProfiles.set(id, tasks);
    checker.jobCreated({ id, tasks: count, attempts: queue.attempts });
    const longestMs = Math.max(...tasks.map((task) => task.workMs));
    const objectiveMs = longestMs * queue.slackFactor + queue.extraMs;
    return {
      queue,
      objectiveMs,
      tasks: count,
      work: tasks.reduce((sum, task) => sum + task.workMs * cpu / 1000, 0),
      submittedAt: clock.now(),
      job: {
        id,
        payload: id,
        timeoutMs: USEFUL_FACTOR * objectiveMs + EXTRA_TIMEOUT_MS,
        steps: [sampleStep({
          count,
          resources,
          estimateMs: longestMs * random.factor(options.estimateSpread),
        })],
      },
    };
  }

  function chooseEntry() {
    const weights = options.entryWeights ?? fleet.entries.map(() => 1);
    let rest = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
    const index = weights.findIndex((weight) => (rest -= weight) < 0);
    return fleet.entries[Math.max(0, index)]!;
  }

  function end(caller: CallerJob, answer: Answer | undefined): void {
    const ms = clock.now() - caller.submittedAt;
    options.ended({
      queue: caller.queue.name,
      tasks: caller.tasks,
      submittedAt: caller.submittedAt,
      work: caller.work,
      ms,
      result: judge(answer, ms, caller.objectiveMs),
    });
  }

  function submit(caller: CallerJob): void {
    const { job } = caller;
    const ageMs = clock.now() - caller.submittedAt;
    const remainingMs = job.timeoutMs - ageMs;
    let isSettled = false;

    function resubmit(): void {
      if (isSettled) return;
      isSettled = true;
      checker.unanswered(job.id);
      if (remainingMs <= SAMPLE_BOUNDS.resendMs) return end(caller, undefined);
      clock.after(SAMPLE_BOUNDS.resendMs, () => submit(caller));
    }

    function answered(answer: Answer): void {
      if (isSettled) return;
      checker.answered(job.id, answer);
      if (answer.kind === "timedOut") return resubmit();
      isSettled = true;
      end(caller, answer);
    }

    const submission = chooseEntry().submit(
      caller.queue,
      { ...job, timeoutMs: remainingMs },
      { answered, broken: resubmit, ageMs },
    );
    if (submission === undefined) return resubmit();
    clock.after(remainingMs, () => {
      if (isSettled) return;
      isSettled = true;
      checker.unanswered(job.id);
      submission.abandon();
      end(caller, undefined);
    });
  }

  function submitNext(callers: CallerClass): void {
    if (clock.now() >= options.untilMs) return;
    submit(makeJob(callers));
    const factor = options.rateFactor?.(clock.now()) ?? 1;
    const meanGapMs = 1000 / (callers.jobsPerSecond * factor);
    clock.after(
      -Math.log(1 - random.next()) * meanGapMs,
      () => submitNext(callers),
    );
  }

  for (const callers of options.classes) {
    clock.after(500, () => submitNext(callers));
  }
}

function judge(
  answer: Answer | undefined,
  ms: number,
  objectiveMs: number,
): JobOutcome["result"] {
  if (answer?.kind === "refused") return "refused";
  if (answer?.kind !== "completed") return "unanswered";
  if (ms <= objectiveMs) return "inTime";
  return ms <= USEFUL_FACTOR * objectiveMs ? "late" : "tooLate";
}
