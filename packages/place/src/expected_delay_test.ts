import { expect } from "chai";
import {
  type Candidate,
  createExpectedDelay,
  createRunTimes,
  type Placing,
  type Policy,
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

function placing(declaredMs: number): Placing {
  return {
    class: "check",
    tenant: "a",
    size: SIZE,
    declaredMs,
    unplaced: 1,
    leftMs: 10_000,
  };
}

/** Teaches that `slow` runs ten times longer than `fast`. */
function teach(policy: Policy, declaredOff: number): void {
  for (let run = 0; run < 200; run++) {
    const fastMs = 50 + (run % 10) * 20;
    const declaredMs = fastMs * declaredOff;
    for (const [side, factor] of [["fast", 1], ["slow", 10]] as const) {
      policy.observe({
        side,
        class: "check",
        declaredMs,
        runMs: fastMs * factor,
        failed: false,
      }, run);
    }
  }
}

describe("createExpectedDelay", () => {
  for (const declaredOff of [0.1, 1, 10]) {
    it(`prefers learned speed, declared times off by ${declaredOff}`, () => {
      const policy = createExpectedDelay({ random: () => 0 });
      teach(policy, declaredOff);
      const both = [candidate("slow", 0), candidate("fast", 7)];
      expect(policy.choose(placing(100), both, 0)).to.equal("fast");
    });
  }

  it("waits for a fast side rather than use a slow one", () => {
    const policy = createExpectedDelay({ random: () => 0 });
    teach(policy, 1);
    const both = [candidate("slow", 0), candidate("fast", 8)];
    expect(policy.choose(placing(100), both, 0)).to.equal(undefined);
  });
});

describe("createRunTimes", () => {
  it("learns slowness per side and corrects declared times", () => {
    const runTimes = createRunTimes();
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
