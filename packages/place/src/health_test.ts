import { expect } from "chai";
import { createOutlierDetector, type OutlierDetector } from "./index.ts";

const RULES = {
  held: [] as ("eject" | "readmit")[],
  ejectFailureRatio: 0.5,
  ejectAtMost: 0.3,
  probationMs: 1_000,
  configurationVersion: 7,
};

function createDetector(rules = RULES): OutlierDetector {
  let actionCount = 0;
  return createOutlierDetector({
    rules: () => rules,
    sides: () => 10,
    nextId: () => `act-${actionCount++}`,
  });
}

function observeOutcomes(
  detector: OutlierDetector,
  side: string,
  failed: boolean,
  count: number,
) {
  const actions = [];
  for (let step = 0; step < count; step++) {
    const action = detector.observe({ side, failed }, 0);
    if (action !== undefined) actions.push(action);
  }
  return actions;
}

describe("outlier detector", () => {
  it("ejects a side that fails all its tasks and reports the figures", () => {
    const detector = createDetector();
    observeOutcomes(detector, "good", false, 50);
    const [action] = observeOutcomes(detector, "bad", true, 20);
    expect(action).to.include({ kind: "eject", subject: "bad" });
    expect(action!.configurationVersion).to.equal(7);
    expect(action!.figures).to.include({ failureRatio: 1, ended: 8 });
    expect(detector.ejectionState("bad", 1)).to.equal("out");
    expect(detector.ejectionState("good", 1)).to.equal("in");
  });

  it("ejects a busy side soon after it starts to fail", () => {
    const detector = createDetector();
    observeOutcomes(detector, "good", false, 500);
    observeOutcomes(detector, "bad", false, 500);
    expect(observeOutcomes(detector, "bad", true, 10)).to.have.length(1);
  });

  it("ejects no side when all sides fail equally often", () => {
    const detector = createDetector();
    for (let step = 0; step < 50; step++) {
      for (let side = 0; side < 10; side++) {
        expect(observeOutcomes(detector, `s${side}`, step % 4 !== 0, 1)).to.deep
          .equal([]);
      }
    }
  });

  it("limits the share of sides ejected at the same time", () => {
    const detector = createDetector();
    for (let side = 0; side < 10; side++) {
      observeOutcomes(detector, `good${side}`, false, 50);
    }
    for (let side = 0; side < 5; side++) {
      observeOutcomes(detector, `bad${side}`, true, 20);
    }
    expect(detector.ejected()).to.have.length(3);
  });

  it("readmits an ejected side after a successful trial task", () => {
    const detector = createDetector();
    observeOutcomes(detector, "good", false, 50);
    observeOutcomes(detector, "bad", true, 10);
    expect(detector.ejectionState("bad", 1_000)).to.equal("trial");
    detector.startTrial("bad", 1_000);
    expect(detector.ejectionState("bad", 1_000)).to.equal("out");
    const action = detector.observe({ side: "bad", failed: false }, 1_100);
    expect(action).to.include({ kind: "readmit", subject: "bad" });
    expect(detector.ejectionState("bad", 1_100)).to.equal("in");
  });

  it("doubles the probation after a failed trial task", () => {
    const detector = createDetector();
    observeOutcomes(detector, "good", false, 50);
    observeOutcomes(detector, "bad", true, 10);
    detector.startTrial("bad", 1_000);
    detector.observe({ side: "bad", failed: true }, 1_001);
    expect(detector.ejectionState("bad", 3_000)).to.equal("out");
    expect(detector.ejectionState("bad", 3_001)).to.equal("trial");
  });

  it("does not eject while operators hold ejections", () => {
    const detector = createDetector({ ...RULES, held: ["eject"] });
    observeOutcomes(detector, "good", false, 50);
    expect(observeOutcomes(detector, "bad", true, 50)).to.deep.equal([]);
  });
});
