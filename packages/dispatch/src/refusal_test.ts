import { expect } from "chai";
import { foretellWaitMs } from "./refusal.ts";

describe("the foretold wait", () => {
  it("is the work ahead by the rate at which it finds room", () => {
    expect(foretellWaitMs({ work: 660, rate: 66 }, 5000)).to.equal(10);
  });

  it("is bounded", () => {
    expect(foretellWaitMs({ work: 1e9, rate: 1 }, 5000)).to.equal(5000);
  });

  it("is nothing while no rate is known", () => {
    expect(foretellWaitMs({ work: 100, rate: 0 }, 5000)).to.equal(0);
  });
});
