/** An entry's counters and response times, as text for a collector. */
import type { Answer } from "@coltsfootreach/dispatch";
import type { Histograms } from "@coltsfootreach/measure";

/** The library is loaded when callers no longer wait for the start of it all. */
const LOAD_AFTER_MS = 5000;

/** Most answers that are kept until then. */
const MAX_KEPT = 20_000;

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
  let kept: AnsweredJob[] = [];

  async function load(): Promise<void> {
    const { createHistograms } = await import("@coltsfootreach/measure");
    histograms = createHistograms(MAX_QUEUES);
    for (const job of kept) record(histograms, job);
    kept = [];
  }

  setTimeout(load, LOAD_AFTER_MS).unref();
  return {
    answered(job) {
      if (histograms !== undefined) record(histograms, job);
      else if (kept.length < MAX_KEPT) kept.push(job);
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

function record(histograms: Histograms, job: AnsweredJob): void {
  histograms.record(`${job.queue}\n${job.answer.kind}`, job.responseMs);
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
