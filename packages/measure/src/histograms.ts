/** Response-time histograms by name, such as one for each tenant or class. */
import { build, type Histogram } from "hdr-histogram-js";

const LONGEST_MS = 600_000;

const SIGNIFICANT_DIGITS = 3;

export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

export interface Histograms {
  /** Records a duration in milliseconds. */
  record(name: string, ms: number): void;
  percentiles(name: string): Percentiles | undefined;
  names(): readonly string[];
}

export function createHistograms(maxNames: number): Histograms {
  const histograms = new Map<string, Histogram>();

  function find(name: string): Histogram {
    const known = histograms.get(name);
    if (known !== undefined) return known;
    const key = histograms.size < maxNames ? name : "other";
    const histogram = histograms.get(key) ?? build({
      highestTrackableValue: LONGEST_MS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
    histograms.set(key, histogram);
    return histogram;
  }

  return {
    record(name, ms) {
      find(name).recordValue(Math.min(LONGEST_MS, Math.max(0, ms)));
    },
    percentiles(name) {
      const histogram = histograms.get(name);
      if (histogram === undefined) return undefined;
      return {
        count: histogram.totalCount,
        p50: histogram.getValueAtPercentile(50),
        p99: histogram.getValueAtPercentile(99),
        p999: histogram.getValueAtPercentile(99.9),
        max: histogram.maxValue,
      };
    },
    names: () => [...histograms.keys()].sort(),
  };
}
