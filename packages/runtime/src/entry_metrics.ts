/** An entry's counters and response times as Prometheus text. */
import type { Answer } from "@coltsfootreach/dispatch";
import type { Histograms } from "@coltsfootreach/measure";

/** Loading the histogram library later keeps it from delaying startup. */
const HISTOGRAM_LOAD_DELAY_MS = 5000;

/** Maximum number of answers buffered until the histograms are loaded. */
const MAX_BUFFERED_ANSWERS = 20_000;

/** Maximum number of histograms; each covers one queue and answer kind. */
const MAX_HISTOGRAMS = 500;

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
  let buffered: AnsweredJob[] = [];

  async function loadHistograms(): Promise<void> {
    const { createHistograms } = await import("@coltsfootreach/measure");
    histograms = createHistograms(MAX_HISTOGRAMS);
    for (const job of buffered) recordResponse(histograms, job);
    buffered = [];
  }

  setTimeout(loadHistograms, HISTOGRAM_LOAD_DELAY_MS).unref();
  return {
    answered(job) {
      if (histograms !== undefined) recordResponse(histograms, job);
      else if (buffered.length < MAX_BUFFERED_ANSWERS) buffered.push(job);
    },
    text() {
      const lines = formatCounters(counts());
      for (const name of histograms?.names() ?? []) {
        lines.push(...formatHistogram(histograms!, name));
      }
      return `${lines.join("\n")}\n`;
    },
  };
}

function recordResponse(histograms: Histograms, job: AnsweredJob): void {
  histograms.record(`${job.queue}\n${job.answer.kind}`, job.responseMs);
}

/** Formats one counter per line. */
export function formatCounters(
  counts: Readonly<Record<string, number>>,
): string[] {
  return Object.entries(counts).map(([kind, value]) =>
    `coltsfootreach_events_total{kind="${kind}"} ${value}`
  );
}

function formatHistogram(histograms: Histograms, name: string): string[] {
  const [queue, answer] = name.split("\n");
  const labels = `queue="${queue}",answer="${answer}"`;
  const metric = "coltsfootreach_response_ms";
  let cumulativeCount = 0;
  const buckets = histograms.buckets(name).map((bucket) => {
    cumulativeCount += bucket.count;
    return `${metric}_bucket{${labels},le="${bucket.upTo}"} ${cumulativeCount}`;
  });
  return [...buckets, `${metric}_count{${labels}} ${cumulativeCount}`];
}
