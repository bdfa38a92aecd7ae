/** Draws the jobs of a run from its seed. Arrivals do not wait for answers. */
import type { Random } from "@coltsfootreach/place";
import { createRandom, exponential } from "@coltsfootreach/trial";

export interface PlannedTask {
  readonly sleepMs: number;
  readonly echo: string;
  readonly fail: boolean;
}

export interface PlannedJob {
  /** Since the start of the load in milliseconds. */
  readonly atMs: number;
  readonly key: string;
  readonly tenant: string;
  readonly class: string;
  readonly deadlineMs: number;
  readonly tasks: readonly PlannedTask[];
  /** When the same job is submitted again while the first copy waits. */
  readonly copiesAfterMs: readonly number[];
  /** When the first copy's connection is given up by its caller. */
  readonly dropAfterMs?: number | undefined;
  readonly cancelAfterMs?: number | undefined;
}

export interface WorkloadOptions {
  readonly seed: number;
  readonly lengthMs: number;
  /** Leaves out what a caller may do wrong or early. */
  readonly isPlain: boolean;
}

export const TENANTS = ["kiln-crews", "bindery-desks", "river-carts"];

export const CLASSES = ["heat-check", "recipe-release", "seal-confirmation"];

const MEAN_INTERVAL_MS = 70;

const MOST_TASKS = 30;

const LARGE_SHARE = 0.01;

const LARGE_TASKS = 540;

const LARGE_TASK_MS = 15;

const SHORTEST_TASK_MS = 20;

const MEAN_TASK_MS = 100;

const LONGEST_TASK_MS = 1500;

const DEADLINE_MS = 10_000;

const SHORT_DEADLINES_MS = [150, 400, 1000];

const SHORT_DEADLINE_SHARE = 0.1;

const FAILING_TASK_SHARE = 0.002;

const COPY_SHARE = 0.15;

const LATEST_COPY_MS = 2000;

const DROP_SHARE = 0.05;

const CANCEL_SHARE = 0.05;

const LATEST_GIVE_UP_MS = 400;

export function drawWorkload(options: WorkloadOptions): PlannedJob[] {
  // Another stream of numbers than that of the schedule.
  const random = createRandom(options.seed ^ 0x5bd1e995);
  const jobs: PlannedJob[] = [];
  let atMs = 0;
  while (atMs < options.lengthMs) {
    jobs.push(drawJob(random, options, { atMs, number: jobs.length }));
    atMs += exponential(random, MEAN_INTERVAL_MS);
  }
  return jobs;
}

function drawJob(
  random: Random,
  options: WorkloadOptions,
  place: { atMs: number; number: number },
): PlannedJob {
  const { atMs, number } = place;
  const key = `chaos-${options.seed}-${number}`;
  const happens = (share: number) => random() < share && !options.isPlain;
  const isLarge = random() < LARGE_SHARE;
  const length = isLarge
    ? LARGE_TASKS
    : 1 + Math.floor(random() * random() * MOST_TASKS);
  const tasks = Array.from({ length }, (_, index) => ({
    sleepMs: isLarge ? LARGE_TASK_MS : drawTaskMs(random),
    echo: `${key}/${index}`,
    fail: happens(FAILING_TASK_SHARE),
  }));
  return {
    atMs,
    key,
    tenant: TENANTS[number % TENANTS.length]!,
    class: CLASSES[Math.floor(random() * CLASSES.length)]!,
    deadlineMs: happens(SHORT_DEADLINE_SHARE)
      ? SHORT_DEADLINES_MS[number % SHORT_DEADLINES_MS.length]!
      : DEADLINE_MS,
    tasks,
    copiesAfterMs: happens(COPY_SHARE)
      ? [0, random() * LATEST_COPY_MS].slice(0, 1 + number % 2)
      : [],
    dropAfterMs: happens(DROP_SHARE) ? random() * LATEST_GIVE_UP_MS : undefined,
    cancelAfterMs: happens(CANCEL_SHARE)
      ? random() * LATEST_GIVE_UP_MS
      : undefined,
  };
}

function drawTaskMs(random: Random): number {
  const drawn = SHORTEST_TASK_MS + exponential(random, MEAN_TASK_MS);
  return Math.round(Math.min(LONGEST_TASK_MS, drawn));
}
