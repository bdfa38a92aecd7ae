/** Named response-time histograms, such as one per tenant or class. */
import { build, type Histogram } from "hdr-histogram-js";

const MAX_DURATION_MS = 600_000;

const SIGNIFICANT_DIGITS = 3;

/** Upper bounds of the exported buckets. */
const BUCKET_BOUNDS_MS = [
  10,
  25,
  50,
  100,
  250,
  500,
  1000,
  2500,
  5000,
  10_000,
  30_000,
  MAX_DURATION_MS,
];

export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Counts values above the previous bucket's bound, up to `upTo` inclusive. */
export interface HistogramBucket {
  readonly upTo: number;
  readonly count: number;
}

export interface Histograms {
  /** Records a duration in milliseconds. */
  record(name: string, ms: number): void;
  percentiles(name: string): Percentiles | undefined;
  buckets(name: string): readonly HistogramBucket[];
  names(): readonly string[];
}

interface Series {
  readonly histogram: Histogram;
  /** Value counts, indexed like `BUCKET_BOUNDS_MS`. */
  readonly counts: number[];
}

export function createHistograms(maxNames: number): Histograms {
  const seriesByName = new Map<string, Series>();

  function findOrCreateSeries(name: string): Series {
    const existing = seriesByName.get(name);
    if (existing !== undefined) return existing;
    const key = seriesByName.size < maxNames ? name : "other";
    const series = seriesByName.get(key) ?? createSeries();
    seriesByName.set(key, series);
    return series;
  }

  return {
    record(name, ms) {
      const durationMs = Math.round(Math.min(MAX_DURATION_MS, Math.max(0, ms)));
      const { histogram, counts } = findOrCreateSeries(name);
      histogram.recordValue(durationMs);
      const bucket = BUCKET_BOUNDS_MS.findIndex((bound) => durationMs <= bound);
      counts[bucket]! += 1;
    },
    percentiles(name) {
      const histogram = seriesByName.get(name)?.histogram;
      if (histogram === undefined) return undefined;
      return {
        count: histogram.totalCount,
        p50: histogram.getValueAtPercentile(50),
        p99: histogram.getValueAtPercentile(99),
        p999: histogram.getValueAtPercentile(99.9),
        max: histogram.maxValue,
      };
    },
    buckets(name) {
      const counts = seriesByName.get(name)?.counts ?? [];
      return counts.map((count, index) => {
        return { upTo: BUCKET_BOUNDS_MS[index]!, count };
      });
    },
    names: () => [...seriesByName.keys()].sort(),
  };
}

function createSeries(): Series {
  const histogram = build({
    highestTrackableValue: MAX_DURATION_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  return { histogram, counts: BUCKET_BOUNDS_MS.map(() => 0) };
}
