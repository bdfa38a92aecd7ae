import { expect } from "chai";
import {
  type Candidate,
  createLeastOutstanding,
  createRandomChoice,
  createRoundRobin,
  createTwoChoices,
  type PlacementPolicy,
  type PlacementRequest,
} from "./index.ts";

const SIZE = { cores: 1, memoryMb: 1, accelerators: 0 };

const TASK: PlacementRequest = {
  class: "c",
  tenant: "a",
  size: SIZE,
  declaredMs: 1,
  unplaced: 1,
  leftMs: 1,
};

function candidate(side: string, running: number): Candidate {
  return {
    side,
    server: side,
    dataCentre: "dc",
    slots: 2,
    outstanding: 0,
    load: { running, queued: 0 },
    loadAtMs: 0,
    outstandingAtLoad: 0,
    classes: ["c"],
    size: SIZE,
  };
}

const BASELINES: readonly (readonly [string, () => PlacementPolicy])[] = [
  ["random", () => createRandomChoice(() => 0.6)],
  ["round robin", () => createRoundRobin()],
  ["two choices", () => createTwoChoices(() => 0.6)],
  ["least outstanding", () => createLeastOutstanding(() => 0.6)],
];

describe("baseline policies", () => {
  for (const [name, create] of BASELINES) {
    it(`${name} chooses a free side, or none if all are full`, () => {
      const full = candidate("full", 2);
      const free = candidate("free", 0);
      const policy = create();
      expect(policy.choose(TASK, [full, free, full], 0)).to.equal("free");
      expect(policy.choose(TASK, [full], 0)).to.equal(undefined);
      expect(policy.choose(TASK, [], 0)).to.equal(undefined);
    });
  }

  it("round robin continues after the last chosen side", () => {
    const policy = createRoundRobin();
    const sides = ["x", "y", "z"].map((side) => candidate(side, 0));
    const chosen = [1, 2, 3, 4].map(() => policy.choose(TASK, sides, 0));
    expect(chosen).to.deep.equal(["x", "y", "z", "x"]);
  });
});
