/** Counts request outcomes per tenant and class. */
import type { Reply } from "@coltsfootreach/types";
import { createHistograms, type HistogramBucket } from "./histograms.ts";

/** Limits the number of tenant and class pairs that are tracked separately. */
const MAX_SERIES = 2000;

export interface CompletedRequest {
  readonly tenant: string;
  readonly class: string;
  readonly responseMs: number;
  readonly reply: Reply;
}

/** Statistics of one tenant and class. */
export interface ClassStats {
  readonly tenant: string;
  readonly class: string;
  readonly ended: number;
  readonly failed: number;
  readonly late: number;
  readonly refused: number;
  readonly response: ResponseSummary;
}

export interface ResponseSummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
  readonly buckets: readonly HistogramBucket[];
}

export interface ClassStatsTable {
  record(request: CompletedRequest): void;
  list(): readonly ClassStats[];
}

interface Counter {
  readonly tenant: string;
  readonly class: string;
  ended: number;
  failed: number;
  late: number;
  refused: number;
}

const NO_PERCENTILES = { count: 0, p50: 0, p99: 0, p999: 0, max: 0 };

export function createClassStatsTable(): ClassStatsTable {
  const counters = new Map<string, Counter>();
  const histograms = createHistograms(MAX_SERIES);

  function findOrCreateCounter(tenant: string, className: string): Counter {
    const name = seriesName(tenant, className);
    const existing = counters.get(name);
    if (existing !== undefined) return existing;
    const counter: Counter = {
      tenant,
      class: className,
      ended: 0,
      failed: 0,
      late: 0,
      refused: 0,
    };
    if (counters.size < MAX_SERIES) counters.set(name, counter);
    return counter;
  }

  return {
    record({ tenant, class: className, responseMs, reply }) {
      const counter = findOrCreateCounter(tenant, className);
      if (reply.kind === "refused") counter.refused += 1;
      if (reply.kind !== "answered") return;
      counter.ended += 1;
      if (reply.answer.state === "failed") counter.failed += 1;
      if (reply.answer.late) counter.late += 1;
      histograms.record(seriesName(tenant, className), responseMs);
    },
    list() {
      return [...counters].map(([name, counter]) => ({
        ...counter,
        response: {
          ...histograms.percentiles(name) ?? NO_PERCENTILES,
          buckets: histograms.buckets(name),
        },
      }));
    },
  };
}

function seriesName(tenant: string, className: string): string {
  return `${tenant}\n${className}`;
}
