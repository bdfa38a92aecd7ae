/** Fleet sizes and job rates of soak tests. */

export interface FleetSize {
  readonly entries: number;
  readonly sides: number;
  readonly jobsPerSecond: number;
}

export type FleetSizeName = "small" | "few-dozen" | "limit";

export const FLEET_SIZES: Readonly<Record<FleetSizeName, FleetSize>> = {
  small: { entries: 3, sides: 5, jobsPerSecond: 20 },
  "few-dozen": { entries: 4, sides: 20, jobsPerSecond: 60 },
  limit: { entries: 10, sides: 150, jobsPerSecond: 150 },
};
