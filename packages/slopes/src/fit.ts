/** Straight lines through measured points, by least squares. */

export interface Point {
  readonly x: number;
  readonly y: number;
}

export interface Fit {
  /** The line's value at x = 0. */
  readonly base: number;
  /** Growth of y for each unit of x. */
  readonly slope: number;
  /** Root of the mean squared residual, as a share of the mean y. */
  readonly residual: number;
}

/**
 * - `equal`: every point counts the same.
 * - `relative`: errors count in proportion to y, for points that span decades.
 */
export type Weighting = "equal" | "relative";

export function fitLine(
  points: readonly Point[],
  weighting: Weighting = "equal",
): Fit {
  let sumW = 0;
  let sumX = 0;
  let sumY = 0;
  for (const { x, y } of points) {
    const weight = weightOf(y, weighting);
    sumW += weight;
    sumX += weight * x;
    sumY += weight * y;
  }
  const meanX = sumX / sumW;
  const meanY = sumY / sumW;
  let covariance = 0;
  let variance = 0;
  for (const { x, y } of points) {
    const weight = weightOf(y, weighting);
    covariance += weight * (x - meanX) * (y - meanY);
    variance += weight * (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  const base = meanY - slope * meanX;
  return { base, slope, residual: residualOf(points, base, slope) };
}

function weightOf(y: number, weighting: Weighting): number {
  return weighting === "equal" || y === 0 ? 1 : 1 / (y * y);
}

function residualOf(
  points: readonly Point[],
  base: number,
  slope: number,
): number {
  let squares = 0;
  let sum = 0;
  for (const { x, y } of points) {
    squares += (y - base - slope * x) ** 2;
    sum += Math.abs(y);
  }
  const mean = sum / points.length;
  return mean === 0 ? 0 : Math.sqrt(squares / points.length) / mean;
}
