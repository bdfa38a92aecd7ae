import { expect } from "chai";
import {
  type Candidate,
  createExpectedDelay,
  createRunTimeModel,
  type PlacementPolicy,
  type PlacementRequest,
} from "./index.ts";

const SIZE = { cores: 1, memoryMb: 100, accelerators: 0 };

function candidate(side: string, running: number): Candidate {
  return {
    side,
    server: side,
    dataCentre: "dc",
    slots: 8,
    outstanding: running,
    load: { running, queued: 0 },
    loadAtMs: 0,
    outstandingAtLoad: running,
    classes: ["check"],
    size: SIZE,
  };
}

function requestOf(declaredMs: number): PlacementRequest {
  return {
    class: "check",
    tenant: "a",
    size: SIZE,
    declaredMs,
    unplaced: 1,
    leftMs: 10_000,
  };
}

/** Trains the policy with runs that take ten times longer on `slow`. */
function train(policy: PlacementPolicy, declaredFactor: number): void {
  for (let run = 0; run < 200; run++) {
    const fastMs = 50 + (run % 10) * 20;
    const declaredMs = fastMs * declaredFactor;
    for (const [side, slowness] of [["fast", 1], ["slow", 10]] as const) {
      policy.observe({
        side,
        class: "check",
        declaredMs,
        runMs: fastMs * slowness,
        failed: false,
      }, run);
    }
  }
}

describe("expected-delay policy", () => {
  for (const declaredFactor of [0.1, 1, 10]) {
    it(`prefers learned speed, declared times off by ${declaredFactor}`, () => {
      const policy = createExpectedDelay({ random: () => 0 });
      train(policy, declaredFactor);
      const both = [candidate("slow", 0), candidate("fast", 7)];
      expect(policy.choose(requestOf(100), both, 0)).to.equal("fast");
    });
  }

  it("keeps a task queued for a fast side rather than using a slow one", () => {
    const policy = createExpectedDelay({ random: () => 0 });
    train(policy, 1);
    const both = [candidate("slow", 0), candidate("fast", 8)];
    expect(policy.choose(requestOf(100), both, 0)).to.equal(undefined);
  });
});

describe("run time model", () => {
  it("learns the slowness of each side and corrects declared times", () => {
    const runTimes = createRunTimeModel();
    for (let run = 0; run < 400; run++) {
      const fastMs = 50 + (run % 10) * 20;
      const declaredMs = fastMs * 10;
      runTimes.observe({
        side: run % 2 ? "a" : "b",
        class: "c",
        declaredMs,
        runMs: run % 2 ? fastMs : 3 * fastMs,
      });
    }
    const ratio = runTimes.slowness("b") / runTimes.slowness("a");
    expect(ratio).to.be.closeTo(3, 0.5);
    const onA = Math.exp(runTimes.forecast("c", 1_000).logMs) *
      runTimes.slowness("a");
    expect(onA).to.be.closeTo(100, 20);
  });
});
