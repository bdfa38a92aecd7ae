/** Creates placement policies by the names used in settings and tools. */
import {
  createRandomChoice,
  createRoundRobin,
  createTwoChoices,
} from "./baselines.ts";
import {
  createExpectedDelay,
  type ExpectedDelayOptions,
} from "./expected_delay.ts";
import { createLeastOutstanding } from "./least_outstanding.ts";
import type { PlacementPolicy } from "./policy.ts";

export const PLACEMENTS = [
  "expected-delay",
  "least-outstanding",
  "two-choices",
  "round-robin",
  "random",
] as const;

export type Placement = typeof PLACEMENTS[number];

export function createPlacementPolicy(
  placement: Placement,
  options: ExpectedDelayOptions,
): PlacementPolicy {
  switch (placement) {
    case "expected-delay":
      return createExpectedDelay(options);
    case "least-outstanding":
      return createLeastOutstanding(options.random);
    case "two-choices":
      return createTwoChoices(options.random);
    case "round-robin":
      return createRoundRobin();
    case "random":
      return createRandomChoice(options.random);
  }
}
