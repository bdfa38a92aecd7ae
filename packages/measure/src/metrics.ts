/** An entry's metrics as text in the usual exposition format. */
import type { Reply } from "@coltsfootreach/types";
import { createHistograms, type Histograms } from "./histograms.ts";

/** Most tenants or classes with a histogram of their own. */
const MAX_NAMES = 1000;

/** Counters by group and name. */
export type Counts = Readonly<Record<string, object>>;

export interface AnsweredRequest {
  readonly tenant: string;
  readonly class: string;
  readonly responseMs: number;
  readonly reply: Reply;
}

export interface Metrics {
  answered(request: AnsweredRequest): void;
  text(counts: Counts): string;
  readonly byTenant: Histograms;
  readonly byClass: Histograms;
}

export function createMetrics(): Metrics {
  const byTenant = createHistograms(MAX_NAMES);
  const byClass = createHistograms(MAX_NAMES);
  const replies = new Map<string, number>();

  return {
    byTenant,
    byClass,
    answered({ tenant, class: className, responseMs, reply }) {
      const kind = kindOf(reply);
      replies.set(kind, (replies.get(kind) ?? 0) + 1);
      if (reply.kind !== "answered") return;
      byTenant.record(tenant, responseMs);
      byClass.record(className, responseMs);
    },
    text(counts) {
      const lines: string[] = [];
      for (const [kind, count] of replies) {
        lines.push(`coltsfootreach_replies_total{kind="${kind}"} ${count}`);
      }
      for (const [group, values] of Object.entries(counts)) {
        for (const [name, value] of Object.entries<number>({ ...values })) {
          const metric = `coltsfootreach_${group}_total`;
          lines.push(`${metric}{kind="${name}"} ${value}`);
        }
      }
      lines.push(...summaries("tenant", byTenant));
      lines.push(...summaries("class", byClass));
      return `${lines.join("\n")}\n`;
    },
  };
}

function kindOf(reply: Reply): string {
  if (reply.kind === "refused") return reply.refusal.code;
  if (reply.kind === "pending") return "pending";
  return reply.answer.late ? "late" : reply.answer.state;
}

function summaries(label: string, histograms: Histograms): string[] {
  const metric = "coltsfootreach_response_ms";
  return histograms.names().flatMap((name) => {
    const found = histograms.percentiles(name)!;
    const tag = `${label}=${JSON.stringify(name)}`;
    return [
      `${metric}{${tag},quantile="0.5"} ${found.p50}`,
      `${metric}{${tag},quantile="0.99"} ${found.p99}`,
      `${metric}{${tag},quantile="0.999"} ${found.p999}`,
      `${metric}_count{${tag}} ${found.count}`,
    ];
  });
}
