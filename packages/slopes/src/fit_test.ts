import { expect } from "chai";
import { fitLine } from "./fit.ts";

describe("fitLine", () => {
  it("finds the line that the points lie on", () => {
    const points = [1, 30, 540].map((x) => ({ x, y: 200 + 7 * x }));
    const fit = fitLine(points, "relative");
    expect(fit.base).to.be.closeTo(200, 1e-6);
    expect(fit.slope).to.be.closeTo(7, 1e-6);
    expect(fit.residual).to.be.closeTo(0, 1e-9);
  });

  it("gives the residual as a share of the mean", () => {
    const fit = fitLine([{ x: 0, y: 9 }, { x: 1, y: 11 }, { x: 2, y: 10 }]);
    expect(fit.slope).to.be.closeTo(0.5, 1e-9);
    expect(fit.base).to.be.closeTo(9.5, 1e-9);
    expect(fit.residual).to.be.closeTo(Math.sqrt(0.5) / 10, 1e-9);
  });

  it("has no slope when nothing varies", () => {
    expect(fitLine([{ x: 3, y: 0 }, { x: 3, y: 0 }])).to.deep.equal({
      base: 0,
      slope: 0,
      residual: 0,
    });
  });
});
