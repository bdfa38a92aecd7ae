/** Series of measured points and what was varied in them. */
import { type Fit, fitLine, type Point, type Weighting } from "./fit.ts";

/**
 * - `daemon`: a daemon process over loopback, with stand-ins around it.
 * - `core`: a decision core or codec alone, with made-up frames.
 */
export type Subject = "daemon" | "core";

export interface Series {
  readonly name: string;
  /** What y counts, with its unit. */
  readonly y: string;
  /** What x counts. */
  readonly x: string;
  readonly subject: Subject;
  readonly points: readonly Point[];
  readonly fit: Fit;
}

export interface SeriesOptions {
  readonly name: string;
  readonly y: string;
  readonly x: string;
  readonly subject: Subject;
  readonly points: readonly Point[];
  readonly weighting?: Weighting | undefined;
}

/** The slopes of one run on one machine. */
export interface Slopes {
  readonly machine: string;
  readonly series: readonly Series[];
}

const DIGITS = 4;

function round(value: number): number {
  return Number(value.toPrecision(DIGITS));
}

export function createSeries(options: SeriesOptions): Series {
  const { weighting, ...rest } = options;
  const { base, slope, residual } = fitLine(options.points, weighting);
  return {
    ...rest,
    points: options.points.map(({ x, y }) => ({ x, y: round(y) })),
    fit: {
      base: round(base),
      slope: round(slope),
      residual: round(residual),
    },
  };
}

/** One line for people. */
export function describeSeries(series: Series): string {
  const { name, x, y, points, fit } = series;
  const run = points.map((point) => `${point.x}:${point.y}`).join(" ");
  return `${name}: ${y} = ${fit.base} + ${fit.slope} x ${x}, ` +
    `residual ${(100 * fit.residual).toFixed(1)}% (${series.subject}; ${run})`;
}

export function findSeries(slopes: Slopes, name: string): Series {
  const found = slopes.series.find((series) => series.name === name);
  if (found === undefined) throw new Error(`the slopes lack ${name}`);
  return found;
}
