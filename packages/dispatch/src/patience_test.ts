import { expect } from "chai";
import { createPatience } from "./patience.ts";

const QUEUE = "thumbs";

describe("caller age estimate", () => {
  it("is zero until a queue has enough samples", () => {
    const estimator = createPatience();
    estimator.learn(QUEUE, 2000);
    expect(estimator.ageMs(QUEUE, 100)).to.equal(0);
  });

  it("is the difference from the typical timeout", () => {
    const estimator = createPatience();
    for (let more = 0; more < 50; more += 1) {
      estimator.learn(QUEUE, 2000 + 10 * more);
    }
    expect(estimator.ageMs(QUEUE, 2000)).to.equal(0);
    expect(estimator.ageMs(QUEUE, 700)).to.be.within(1100, 1200);
    expect(estimator.ageMs("other", 700)).to.equal(0);
  });

  it("is available to a new process from adopted estimates", () => {
    const established = createPatience();
    for (let count = 0; count < 20; count += 1) established.learn(QUEUE, 2000);
    const restarted = createPatience();
    restarted.adopt(established.table());
    expect(restarted.ageMs(QUEUE, 800)).to.equal(1000);
    expect(restarted.table()).to.deep.equal(established.table());
  });

  it("adapts when the typical timeout changes", () => {
    const estimator = createPatience();
    for (let count = 0; count < 64; count += 1) estimator.learn(QUEUE, 2000);
    for (let count = 0; count < 64; count += 1) estimator.learn(QUEUE, 900);
    expect(estimator.ageMs(QUEUE, 900)).to.equal(0);
  });
});
