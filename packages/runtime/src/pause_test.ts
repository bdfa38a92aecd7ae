import { expect } from "chai";
import { watchForPause } from "./pause.ts";

function createBench() {
  const clocks = { steady: 0, wall: 1_000_000 };
  const watch = watchForPause({
    steadyMs: () => clocks.steady,
    wallMs: () => clocks.wall,
    longestTurnMs: 450,
  });
  return {
    isOverAfter(steadyMs: number, wallMs: number): boolean {
      clocks.steady += steadyMs;
      clocks.wall += wallMs;
      return watch.isOver();
    },
  };
}

describe("a watch for pauses", () => {
  it("notices a turn that took too long, once", () => {
    const bench = createBench();
    expect(bench.isOverAfter(200, 200)).to.equal(false);
    expect(bench.isOverAfter(3000, 3000)).to.equal(true);
    expect(bench.isOverAfter(25, 25)).to.equal(false);
  });

  it("notices a suspension that the steady clock leaves out", () => {
    const bench = createBench();
    expect(bench.isOverAfter(10, 3010)).to.equal(true);
    expect(bench.isOverAfter(10, 10)).to.equal(false);
  });

  it("takes no notice of a time of day that is set back", () => {
    expect(createBench().isOverAfter(25, -2400)).to.equal(false);
  });
});
