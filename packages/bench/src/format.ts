/** Reports as a table for people. */
import type { BenchReport } from "./run_bench.ts";

const WIDTH = 9;

const COLUMNS = [
  "p50",
  "p99",
  "p99.9",
  "waste",
  "us/task",
  "starts/s",
  "doubles",
  "no end",
  "failed",
];

export function formatReports(reports: readonly BenchReport[]): string {
  const head = "policy".padEnd(20) +
    COLUMNS.map((name) => name.padStart(WIDTH)).join("");
  const lines = reports.map((report) =>
    report.policy.padEnd(20) + [
      report.responseOverIdeal.p50.toFixed(2),
      report.responseOverIdeal.p99.toFixed(2),
      report.responseOverIdeal.p999.toFixed(2),
      report.wastedPerTask.total.toFixed(3),
      report.entryCpuPerTask.toFixed(0),
      report.startsPerSecond.toFixed(0),
      String(report.doubleStarts),
      String(report.jobsWithoutEnd),
      String(report.failedJobs),
    ].map((text) => text.padStart(WIDTH)).join("")
  );
  return [head, ...lines].join("\n");
}
