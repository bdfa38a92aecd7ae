/** An entry's counters and response times, as text for a collector. */
import type { Answer } from "@coltsfootreach/dispatch";
import { createHistograms, type Histograms } from "@coltsfootreach/measure";

/** Most queues whose response times are kept apart. */
const MAX_QUEUES = 500;

export interface AnsweredJob {
  readonly queue: string;
  readonly answer: Answer;
  readonly responseMs: number;
}

export interface EntryMetrics {
  answered(job: AnsweredJob): void;
  text(): string;
}

export function createEntryMetrics(
  counts: () => Readonly<Record<string, number>>,
): EntryMetrics {
  let histograms: Histograms | undefined;
  return {
    answered({ queue, answer, responseMs }) {
      histograms ??= createHistograms(MAX_QUEUES);
      histograms.record(`${queue}\n${answer.kind}`, responseMs);
    },
    text() {
      const lines = formatCounts(counts());
      for (const name of histograms?.names() ?? []) {
        lines.push(...formatHistogram(histograms!, name));
      }
      return `${lines.join("\n")}\n`;
    },
  };
}

/** Counters by name, one a line. */
export function formatCounts(
  counts: Readonly<Record<string, number>>,
): string[] {
  return Object.entries(counts).map(([kind, value]) =>
    `coltsfootreach_events_total{kind="${kind}"} ${value}`
  );
}

function formatHistogram(histograms: Histograms, name: string): string[] {
  const [queue, answer] = name.split("\n");
  const tags = `queue="${queue}",answer="${answer}"`;
  const metric = "coltsfootreach_response_ms";
  let upTo = 0;
  const buckets = histograms.buckets(name).map((bucket) => {
    upTo += bucket.count;
    return `${metric}_bucket{${tags},le="${bucket.upTo}"} ${upTo}`;
  });
  return [...buckets, `${metric}_count{${tags}} ${upTo}`];
}
