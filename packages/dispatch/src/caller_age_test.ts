import { expect } from "chai";
import { createCallerAgeEstimator } from "./caller_age.ts";

const QUEUE = "thumbs";

describe("caller age estimate", () => {
  it("is zero until a queue has enough samples", () => {
    const estimator = createCallerAgeEstimator();
    estimator.recordTimeout(QUEUE, 2000);
    expect(estimator.ageMs(QUEUE, 100)).to.equal(0);
  });

  it("is the difference from the typical timeout", () => {
    const estimator = createCallerAgeEstimator();
    for (let more = 0; more < 50; more += 1) {
      estimator.recordTimeout(QUEUE, 2000 + 10 * more);
    }
    expect(estimator.ageMs(QUEUE, 2000)).to.equal(0);
    expect(estimator.ageMs(QUEUE, 700)).to.be.within(1100, 1200);
    expect(estimator.ageMs("other", 700)).to.equal(0);
  });

  it("is available to a new process from adopted estimates", () => {
    const established = createCallerAgeEstimator();
    for (let count = 0; count < 20; count += 1) {
      established.recordTimeout(QUEUE, 2000);
    }
    const restarted = createCallerAgeEstimator();
    restarted.adopt(established.table());
    expect(restarted.ageMs(QUEUE, 800)).to.equal(1000);
    expect(restarted.table()).to.deep.equal(established.table());
  });

  it("adapts when the typical timeout changes", () => {
    const estimator = createCallerAgeEstimator();
    for (let count = 0; count < 64; count += 1) {
      estimator.recordTimeout(QUEUE, 2000);
    }
    for (let count = 0; count < 64; count += 1) {
      estimator.recordTimeout(QUEUE, 900);
    }
    expect(estimator.ageMs(QUEUE, 900)).to.equal(0);
  });
});
