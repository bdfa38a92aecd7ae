import { expect } from "chai";
import { createPauseDetector } from "./pause.ts";

function createHarness() {
  const clocks = { monotonic: 0, wall: 1_000_000 };
  const detector = createPauseDetector({
    monotonicMs: () => clocks.monotonic,
    wallMs: () => clocks.wall,
    maxIntervalMs: 450,
  });
  return {
    pauseAfter(monotonicMs: number, wallMs: number): number {
      clocks.monotonic += monotonicMs;
      clocks.wall += wallMs;
      return detector.takePauseMs();
    },
  };
}

describe("pause detector", () => {
  it("reports an overlong interval between checks once", () => {
    const harness = createHarness();
    expect(harness.pauseAfter(200, 200)).to.equal(0);
    expect(harness.pauseAfter(3000, 3000)).to.equal(3000);
    expect(harness.pauseAfter(25, 25)).to.equal(0);
  });

  it("detects a suspension that the monotonic clock does not count", () => {
    const harness = createHarness();
    expect(harness.pauseAfter(10, 3010)).to.equal(3010);
    expect(harness.pauseAfter(10, 10)).to.equal(0);
  });

  it("ignores a wall clock that is set back", () => {
    expect(createHarness().pauseAfter(25, -2400)).to.equal(0);
  });
});
