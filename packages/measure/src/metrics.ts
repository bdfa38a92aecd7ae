/** An entry's metrics as text in the usual exposition format. */
import { type AnsweredRequest, createFlows, type Flow } from "./flow.ts";

/** Counters by group and name. */
export type Counts = Readonly<Record<string, object>>;

export interface Metrics {
  answered(request: AnsweredRequest): void;
  /** One for each tenant and class. */
  flows(): readonly Flow[];
  text(counts: Counts): string;
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

function counterLines(counts: Counts): string[] {
  return Object.entries(counts).flatMap(([group, values]) =>
    Object.entries<number>({ ...values }).map(([kind, value]) =>
      `coltsfootreach_${group}_total{kind="${kind}"} ${value}`
    )
  );
}

function flowLines(flow: Flow): string[] {
  const tags = `tenant=${JSON.stringify(flow.tenant)},` +
    `class=${JSON.stringify(flow.class)}`;
  const { response } = flow;
  const time = "coltsfootreach_response_ms";
  const jobs = "coltsfootreach_jobs_total";
  let upTo = 0;
  return [
    `${jobs}{${tags},kind="ended"} ${flow.ended}`,
    `${jobs}{${tags},kind="failed"} ${flow.failed}`,
    `${jobs}{${tags},kind="late"} ${flow.late}`,
    `${jobs}{${tags},kind="refused"} ${flow.refused}`,
    ...response.buckets.map((bucket) => {
      upTo += bucket.count;
      return `${time}_bucket{${tags},le="${bucket.upTo}"} ${upTo}`;
    }),
    `${time}_count{${tags}} ${response.count}`,
  ];
}
