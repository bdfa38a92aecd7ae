/** The policies that a trial can run, by name. */
import {
  createExpectedDelay,
  createLeastOutstanding,
  createRandomChoice,
  createRoundRobin,
  createTwoChoices,
  type PlacementPolicy,
} from "@coltsfootreach/place";
import type { PolicyContext } from "./run_trial.ts";

export interface NamedPolicy {
  readonly name: string;
  readonly create: (context: PolicyContext) => PlacementPolicy;
}

export const POLICIES: readonly NamedPolicy[] = [
  { name: "random", create: ({ random }) => createRandomChoice(random) },
  { name: "round-robin", create: () => createRoundRobin() },
  { name: "two-choices", create: ({ random }) => createTwoChoices(random) },
  {
    name: "least-outstanding",
    create: ({ random }) => createLeastOutstanding(random),
  },
  { name: "expected-delay", create: createExpectedDelay },
];
