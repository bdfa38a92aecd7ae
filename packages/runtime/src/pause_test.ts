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
    hasPausedAfter(monotonicMs: number, wallMs: number): boolean {
      clocks.monotonic += monotonicMs;
      clocks.wall += wallMs;
      return detector.hasPaused();
    },
  };
}

describe("pause detector", () => {
  it("reports an overlong interval between checks once", () => {
    const harness = createHarness();
    expect(harness.hasPausedAfter(200, 200)).to.equal(false);
    expect(harness.hasPausedAfter(3000, 3000)).to.equal(true);
    expect(harness.hasPausedAfter(25, 25)).to.equal(false);
  });

  it("detects a suspension that the monotonic clock does not count", () => {
    const harness = createHarness();
    expect(harness.hasPausedAfter(10, 3010)).to.equal(true);
    expect(harness.hasPausedAfter(10, 10)).to.equal(false);
  });

  it("ignores a wall clock that is set back", () => {
    expect(createHarness().hasPausedAfter(25, -2400)).to.equal(false);
  });
});
