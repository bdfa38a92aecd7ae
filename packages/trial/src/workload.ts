/**
 * Open-loop arrivals: jobs come at random times that do not depend on answers,
 * so a slow answer delays no later job.
 */
import type { Random } from "@coltsfootreach/place";
import {
  capacityOf,
  type ClassProfile,
  MAX_RUN_MS,
  MIN_RUN_MS,
  type Profile,
} from "./profile.ts";
import { createRandom, exponential, logNormal, powerLaw } from "./random.ts";
import type { Scenario } from "./scenario.ts";

export interface TrialTask {
  /** Run time on the fastest worker. */
  readonly runMs: number;
  readonly declaredMs: number;
}

export interface TrialJob {
  readonly id: string;
  readonly tenant: string;
  readonly class: string;
  readonly atMs: number;
  readonly deadlineMs: number;
  readonly tasks: readonly TrialTask[];
}

export interface WorkloadOptions {
  readonly profile: Profile;
  readonly scenario: Scenario;
  readonly load: number;
  readonly durationMs: number;
  readonly seed: number;
}

interface TenantOptions extends WorkloadOptions {
  readonly tenant: string;
  readonly random: Random;
  /** Work that the tenant offers over the whole duration. */
  readonly workMs: number;
}

/** Time that callers add to the deadline of their class for each task. */
const DEADLINE_PER_TASK_MS = 50;

/** Declared times in the scenario `declared-off` are off by up to this. */
const DECLARED_OFF = 10;

function pickClass(profile: Profile, random: Random): ClassProfile {
  let left = random();
  for (const one of profile.classes) {
    left -= one.share;
    if (left < 0) return one;
  }
  return profile.classes.at(-1)!;
}

function drawTask(
  options: TenantOptions,
  oneClass: ClassProfile,
): TrialTask {
  const { profile, scenario, random } = options;
  const drawn = logNormal(random, oneClass.medianMs, oneClass.spread);
  const runMs = Math.min(MAX_RUN_MS, Math.max(MIN_RUN_MS, drawn));
  const declaredMs = scenario.declaredOff
    ? runMs * DECLARED_OFF ** (2 * random() - 1)
    : logNormal(random, runMs, profile.declaredSpread);
  return { runMs, declaredMs };
}

function drawTasks(
  options: TenantOptions,
  oneClass: ClassProfile,
): TrialTask[] {
  const { profile, random } = options;
  const count = powerLaw(random, profile.sizeExponent, profile.maxTasks);
  return Array.from({ length: count }, () => drawTask(options, oneClass));
}

function workOf(jobs: readonly TrialJob[]): number {
  let sum = 0;
  for (const job of jobs) for (const task of job.tasks) sum += task.runMs;
  return sum;
}

function drawJob(options: TenantOptions, number: number): TrialJob {
  const { tenant, profile, random } = options;
  const oneClass = pickClass(profile, random);
  const tasks = drawTasks(options, oneClass);
  return {
    id: `${tenant}\n${number}`,
    tenant,
    class: oneClass.name,
    atMs: 0,
    deadlineMs: oneClass.deadlineMs + tasks.length * DEADLINE_PER_TASK_MS,
    tasks,
  };
}

/**
 * The jobs of one tenant. They come at exponential gaps that are scaled so that
 * the work offered over the duration is exact.
 */
function drawTenant(options: TenantOptions): readonly TrialJob[] {
  const jobs: TrialJob[] = [];
  const gaps: number[] = [];
  let left = options.workMs;
  while (left > 0) {
    const job = drawJob(options, jobs.length);
    jobs.push(job);
    gaps.push(exponential(options.random, 1));
    left -= workOf([job]);
  }
  const total = gaps.reduce((sum, gap) => sum + gap, 0);
  const scale = options.durationMs / total;
  let atMs = 0;
  return jobs.map((job, at) => {
    atMs += gaps[at]! * scale;
    return { ...job, atMs };
  });
}

/**
 * All jobs of a trial in the order in which they come. Each tenant draws from
 * its own random numbers, so a busier tenant leaves the others' jobs the same.
 */
export function drawJobs(options: WorkloadOptions): readonly TrialJob[] {
  const { profile, scenario, load, durationMs, seed } = options;
  const total = load * capacityOf(profile) * durationMs;
  const jobs = profile.tenants.flatMap((tenant, at) => {
    const factor = at === 0 ? scenario.busyTenantFactor : 1;
    const workMs = (factor * total) / profile.tenants.length;
    const random = createRandom(seed * 100 + at);
    return drawTenant({ ...options, tenant, workMs, random });
  });
  return jobs.sort((a, b) => a.atMs - b.atMs);
}
