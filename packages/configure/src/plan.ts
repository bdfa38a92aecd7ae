/** Previews a configuration change before it is applied. */
import type { ParsedConfiguration } from "@coltsfootreach/types";
import { type Difference, findDifferences } from "./difference.ts";
import { type Effect, findEffects, type WorkloadSnapshot } from "./effect.ts";

export interface Plan {
  /** The version that the change starts from; 0 for the first. */
  readonly fromVersion: number;
  readonly differences: readonly Difference[];
  readonly effects: readonly Effect[];
}

/** Lists the differences and their effects on running work. */
export function planChange(
  current: ParsedConfiguration | undefined,
  next: ParsedConfiguration,
  running: WorkloadSnapshot,
): Plan {
  return {
    fromVersion: current?.version ?? 0,
    differences: findDifferences(current, next),
    effects: current === undefined
      ? []
      : findEffects({ from: current, to: next, running }),
  };
}
