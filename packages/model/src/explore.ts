/**
 * Explores a world breadth first with the traversal of `@xstate/graph`. The
 * decision cores keep their state to themselves, so a state of the graph is
 * the trace that reached it, and the cores are run anew for each trace.
 */
import { getAdjacencyMap } from "@xstate/graph";
import type { Mutation, Violation } from "@coltsfootreach/scenario";
import { fromTransition } from "xstate";
import { type Action, describeAction } from "./action.ts";
import { takeStateKey } from "./state_key.ts";
import { replay, rest, type World } from "./world.ts";

export interface Exploration {
  readonly world: string;
  readonly states: number;
  readonly transitions: number;
  /** True when nothing within the bounds was left out. */
  readonly isExhaustive: boolean;
  readonly found: Finding | undefined;
}

export interface Finding {
  readonly trace: readonly string[];
  /** What the system did on the way. */
  readonly log: readonly string[];
  readonly violations: readonly Violation[];
}

export interface ExploreOptions {
  readonly mutation?: Mutation | undefined;
  /** Most transitions to take; all within the bounds if not given. */
  readonly maxTransitions?: number;
}

interface ModelState {
  readonly trace: readonly Action[];
  readonly key: string;
  readonly next: readonly Action[];
}

export function explore(
  world: World,
  options: ExploreOptions = {},
): Exploration {
  const { mutation, maxTransitions = Infinity } = options;
  const seen = new Set<string>();
  let transitions = 0;
  let isCut = false;
  let found: Finding | undefined;

  function reach(trace: readonly Action[]): ModelState {
    const { harness, next } = replay(world, trace, mutation);
    const key = takeStateKey(harness);
    if (!seen.has(key)) {
      seen.add(key);
      rest(world, harness);
      const violations = harness.violations();
      if (violations.length > 0) {
        const log = harness.trace();
        found ??= { trace: trace.map(describeAction), log, violations };
      }
    }
    return { trace, key, next };
  }

  function follow(state: ModelState): readonly Action[] {
    if (found !== undefined) return [];
    if (transitions < maxTransitions) return state.next;
    isCut ||= state.next.length > 0;
    return [];
  }

  const logic = fromTransition((state: ModelState, action: Action) => {
    // The first finding ends the run.
    if (found !== undefined) return state;
    transitions += 1;
    return reach([...state.trace, action]);
  }, reach([]));

  getAdjacencyMap(logic, {
    events: (state) => follow(state.context) as Action[],
    serializeState: (state) => state.context.key,
    serializeEvent: (action) => describeAction(action),
  });
  return {
    world: world.name,
    states: seen.size,
    transitions,
    isExhaustive: !isCut && found === undefined,
    found,
  };
}
