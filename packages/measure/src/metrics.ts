/** Metrics of an entry in the Prometheus text exposition format. */
import { type CompletedRequest, createFlows, type Flow } from "./flow.ts";

/** Counter values by group and name. */
export type CounterGroups = Readonly<Record<string, object>>;

export interface Metrics {
  answered(request: CompletedRequest): void;
  /** Returns the statistics of each tenant and class. */
  flows(): readonly Flow[];
  text(counts: CounterGroups): string;
}

export function createMetrics(): Metrics {
  const flows = createFlows();
  return {
    answered: (request) => flows.record(request),
    flows: () => flows.list(),
    text(counts) {
      const lines = [
        ...counterLines(counts),
        ...flows.list().flatMap(flowLines),
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

function flowLines(flow: Flow): string[] {
  const labels = `tenant=${JSON.stringify(flow.tenant)},` +
    `class=${JSON.stringify(flow.class)}`;
  const { response } = flow;
  const metric = "coltsfootreach_response_ms";
  const jobsMetric = "coltsfootreach_jobs_total";
  let cumulative = 0;
  return [
    `${jobsMetric}{${labels},kind="ended"} ${flow.ended}`,
    `${jobsMetric}{${labels},kind="failed"} ${flow.failed}`,
    `${jobsMetric}{${labels},kind="late"} ${flow.late}`,
    `${jobsMetric}{${labels},kind="refused"} ${flow.refused}`,
    ...response.buckets.map((bucket) => {
      cumulative += bucket.count;
      return `${metric}_bucket{${labels},le="${bucket.upTo}"} ${cumulative}`;
    }),
    `${metric}_count{${labels}} ${response.count}`,
  ];
}
