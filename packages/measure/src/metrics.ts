/** Metrics of an entry in the Prometheus text exposition format. */
import {
  type ClassStats,
  type CompletedRequest,
  createClassStatsTable,
} from "./flow.ts";

/** Counter values by group and name. */
export type CounterGroups = Readonly<Record<string, object>>;

export interface Metrics {
  answered(request: CompletedRequest): void;
  /** Returns the statistics of each tenant and class. */
  classStats(): readonly ClassStats[];
  text(counts: CounterGroups): string;
}

export function createMetrics(): Metrics {
  const statsTable = createClassStatsTable();
  return {
    answered: (request) => statsTable.record(request),
    classStats: () => statsTable.list(),
    text(counts) {
      const lines = [
        ...counterLines(counts),
        ...statsTable.list().flatMap(classStatsLines),
      ];
      return `${lines.join("\n")}\n`;
    },
  };
}

function counterLines(counts: CounterGroups): string[] {
  return Object.entries(counts).flatMap(([group, values]) =>
    Object.entries<number>({ ...values }).map(([kind, value]) =>
      `coltsfootreach_${group}_total{kind="${kind}"} ${value}`
    )
  );
}

function classStatsLines(stats: ClassStats): string[] {
  const labels = `tenant=${JSON.stringify(stats.tenant)},` +
    `class=${JSON.stringify(stats.class)}`;
  const { response } = stats;
  const metric = "coltsfootreach_response_ms";
  const jobsMetric = "coltsfootreach_jobs_total";
  let cumulative = 0;
  return [
    `${jobsMetric}{${labels},kind="ended"} ${stats.ended}`,
    `${jobsMetric}{${labels},kind="failed"} ${stats.failed}`,
    `${jobsMetric}{${labels},kind="late"} ${stats.late}`,
    `${jobsMetric}{${labels},kind="refused"} ${stats.refused}`,
    ...response.buckets.map((bucket) => {
      cumulative += bucket.count;
      return `${metric}_bucket{${labels},le="${bucket.upTo}"} ${cumulative}`;
    }),
    `${metric}_count{${labels}} ${response.count}`,
  ];
}
