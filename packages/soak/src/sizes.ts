/** How many processes a soak runs. */

export interface Size {
  readonly entries: number;
  readonly sides: number;
  readonly jobsPerSecond: number;
}

export type SizeName = "small" | "few-dozen" | "limit";

export const SIZES: Readonly<Record<SizeName, Size>> = {
  small: { entries: 2, sides: 4, jobsPerSecond: 15 },
  "few-dozen": { entries: 4, sides: 20, jobsPerSecond: 60 },
  limit: { entries: 10, sides: 150, jobsPerSecond: 150 },
};
