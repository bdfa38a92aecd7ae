/** Response-time histograms by name, such as one for each tenant or class. */
import { build, type Histogram } from "hdr-histogram-js";

const LONGEST_MS = 600_000;

const SIGNIFICANT_DIGITS = 3;

/** Upper bounds of the buckets that are shown, in milliseconds. */
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
  LONGEST_MS,
];

export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Counts values up to a bound and above that of the bucket before. */
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
  /** Values counted by the bound of their bucket. */
  readonly counts: number[];
}

export function createHistograms(maxNames: number): Histograms {
  const all = new Map<string, Series>();

  function find(name: string): Series {
    const known = all.get(name);
    if (known !== undefined) return known;
    const key = all.size < maxNames ? name : "other";
    const series = all.get(key) ?? createSeries();
    all.set(key, series);
    return series;
  }

  return {
    record(name, ms) {
      const bounded = Math.round(Math.min(LONGEST_MS, Math.max(0, ms)));
      const { histogram, counts } = find(name);
      histogram.recordValue(bounded);
      const bucket = BUCKET_BOUNDS_MS.findIndex((bound) => bounded <= bound);
      counts[bucket]! += 1;
    },
    percentiles(name) {
      const histogram = all.get(name)?.histogram;
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
      const counts = all.get(name)?.counts ?? [];
      return counts.map((count, index) => {
        return { upTo: BUCKET_BOUNDS_MS[index]!, count };
      });
    },
    names: () => [...all.keys()].sort(),
  };
}

function createSeries(): Series {
  const histogram = build({
    highestTrackableValue: LONGEST_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  return { histogram, counts: BUCKET_BOUNDS_MS.map(() => 0) };
}
