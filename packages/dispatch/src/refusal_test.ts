import { expect } from "chai";
import { predictWaitMs } from "./refusal.ts";

describe("predicted wait", () => {
  it("is the queued work divided by the placement rate", () => {
    expect(predictWaitMs({ work: 660, rate: 66 }, 5000)).to.equal(10);
  });

  it("is limited to the maximum", () => {
    expect(predictWaitMs({ work: 1e9, rate: 1 }, 5000)).to.equal(5000);
  });

  it("is zero if the rate is unknown", () => {
    expect(predictWaitMs({ work: 100, rate: 0 }, 5000)).to.equal(0);
  });
});
