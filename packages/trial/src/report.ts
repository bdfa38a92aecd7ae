/**
 * What a trial reports: response over ideal of whole jobs, in total, per tenant
 * and by job size, goodput, and messages.
 */
import type { JobEnd } from "./entry_model.ts";
import type { TrialJob } from "./workload.ts";

export interface Quantiles {
  readonly jobs: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
}

export interface MessageCounts {
  readonly starts: number;
  /** Starts of tasks that a side had refused before. */
  readonly repeatedStarts: number;
  readonly results: number;
  readonly refused: number;
  readonly heartbeats: number;
}

export interface TrialReport {
  readonly profile: string;
  readonly scenario: string;
  readonly policy: string;
  readonly load: number;
  readonly seed: number;
  readonly jobs: number;
  /** Jobs that came after the warm-up. */
  readonly reportedJobs: number;
  readonly tasks: number;
  readonly responseOverIdeal: Quantiles;
  /** Jobs of all tenants but the first, which some scenarios make busy. */
  readonly othersOverIdeal: Quantiles;
  readonly perTenant: Readonly<Record<string, Quantiles>>;
  /** By number of tasks in the job. */
  readonly perSize: Readonly<Record<string, Quantiles>>;
  /** Work of jobs that were complete in time, over the capacity. */
  readonly goodput: number;
  readonly refusedJobs: number;
  readonly failedJobs: number;
  readonly lateJobs: number;
  /** Tasks that failed on a side, as a share of those that ended there. */
  readonly failedTaskShare: number;
  readonly messages: MessageCounts;
  readonly messagesPerTask: number;
  readonly wastedPerTask: number;
}

const SIZE_BOUNDS = [1, 4, 16, 64, 540];

function quantile(sorted: Float64Array, share: number): number {
  if (sorted.length === 0) return NaN;
  const at = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, at)]!;
}

export function quantilesOf(values: readonly number[]): Quantiles {
  const sorted = Float64Array.from(values).sort();
  return {
    jobs: sorted.length,
    p50: quantile(sorted, 0.5),
    p99: quantile(sorted, 0.99),
    p999: quantile(sorted, 0.999),
  };
}

/** The response time that a job had alone on the fastest workers. */
export function idealMs(job: TrialJob, roundTripMs: number): number {
  let longest = 0;
  for (const task of job.tasks) longest = Math.max(longest, task.runMs);
  return longest + roundTripMs;
}

function sizeName(job: TrialJob): string {
  const at = SIZE_BOUNDS.findIndex((bound) => job.tasks.length <= bound);
  const from = at === 0 ? 1 : SIZE_BOUNDS[at - 1]! + 1;
  return from === SIZE_BOUNDS[at] ? `${from}` : `${from}-${SIZE_BOUNDS[at]}`;
}

function groupBy(
  ends: readonly JobEnd[],
  name: (job: TrialJob) => string,
): Map<string, JobEnd[]> {
  const groups = new Map<string, JobEnd[]>();
  for (const end of ends) {
    const group = groups.get(name(end.job)) ?? [];
    group.push(end);
    groups.set(name(end.job), group);
  }
  return groups;
}

/** Response over ideal of complete jobs, by a name of their group. */
export function ratios(
  ends: readonly JobEnd[],
  roundTripMs: number,
): readonly number[] {
  return ends
    .filter((end) => end.state === "complete")
    .map((end) =>
      (end.endedAtMs - end.job.atMs) / idealMs(end.job, roundTripMs)
    );
}

export function quantilesBy(
  ends: readonly JobEnd[],
  roundTripMs: number,
  name: (job: TrialJob) => string,
): Readonly<Record<string, Quantiles>> {
  const groups = [...groupBy(ends, name)].sort(([a], [b]) =>
    a.localeCompare(b, "en", { numeric: true })
  );
  return Object.fromEntries(
    groups.map((
      [key, group],
    ) => [key, quantilesOf(ratios(group, roundTripMs))]),
  );
}

export function bySize(
  ends: readonly JobEnd[],
  roundTripMs: number,
): Readonly<Record<string, Quantiles>> {
  return quantilesBy(ends, roundTripMs, sizeName);
}

export function isInTime(end: JobEnd): boolean {
  return end.state === "complete" &&
    end.endedAtMs <= end.job.atMs + end.job.deadlineMs;
}

export function workMs(job: TrialJob): number {
  return job.tasks.reduce((sum, task) => sum + task.runMs, 0);
}

function figure(value: number): string {
  return value.toFixed(2).padStart(8);
}

/** Share of the reported jobs that were refused, failed or late. */
function lostShare(report: TrialReport): number {
  const lost = report.refusedJobs + report.failedJobs + report.lateJobs;
  return lost / Math.max(1, report.reportedJobs);
}

/** One line per policy, for people. */
export function formatTable(reports: readonly TrialReport[]): string {
  const head = "policy".padEnd(20) +
    [
      "p50",
      "p99",
      "p99.9",
      "others99",
      "goodput",
      "lost%",
      "failed%",
      "msg/task",
      "waste",
    ]
      .map((name) => name.padStart(9)).join("");
  const lines = reports.map((report) =>
    report.policy.padEnd(20) + [
      report.responseOverIdeal.p50,
      report.responseOverIdeal.p99,
      report.responseOverIdeal.p999,
      report.othersOverIdeal.p99,
      report.goodput,
      100 * lostShare(report),
      100 * report.failedTaskShare,
      report.messagesPerTask,
      report.wastedPerTask,
    ].map((value) => ` ${figure(value)}`).join("")
  );
  return [head, ...lines].join("\n");
}

/** Quantiles by group, for people. */
export function formatGroups(
  groups: Readonly<Record<string, Quantiles>>,
): string {
  return Object.entries(groups).map(([name, { jobs, p50, p99, p999 }]) =>
    `  ${name.padEnd(12)}${`${jobs}`.padStart(8)} jobs` +
    [p50, p99, p999].map((value) => ` ${figure(value)}`).join("")
  ).join("\n");
}
