/** What of the model runs in CI: part of each world, and every mutation. */
import { expect } from "chai";
import { explore, type Finding, MUTATIONS, walk, WORLDS } from "./index.ts";

/** Transitions of each world; `npm run model` explores more. */
const TRANSITIONS = 150;

/** Within this a mutation must show. */
const MUTATION_TRANSITIONS = 2500;

const WALK_SEEDS = [1, 2, 3];
const WALKS = 100;
const WALK_LENGTH = 40;

function shown(found: Finding): string {
  const { trace, log, violations } = found;
  const facts = violations.map((one) => `${one.property}: ${one.detail}`);
  return [trace.join("; "), ...log, ...facts].join("\n");
}

describe("the model of admission and takeover", () => {
  for (const world of WORLDS) {
    it(`holds in the world "${world.name}"`, () => {
      const { found } = explore(world, { maxTransitions: TRANSITIONS });
      if (found !== undefined) throw new Error(shown(found));
    });
  }

  for (const seed of WALK_SEEDS) {
    it(`holds on random walks of seed ${seed}`, () => {
      const { found } = walk({ seed, walks: WALKS, length: WALK_LENGTH });
      if (found !== undefined) throw new Error(`seed ${seed}\n${shown(found)}`);
    });
  }

  for (const { name, mutation, world } of MUTATIONS) {
    it(`notices when ${name}`, () => {
      const maxTransitions = MUTATION_TRANSITIONS;
      const { found } = explore(world, { maxTransitions, mutation });
      expect(found?.violations ?? []).not.to.deep.equal([]);
    });
  }
});
