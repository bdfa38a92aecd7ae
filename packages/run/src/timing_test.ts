import { expect } from "chai";
import fc from "fast-check";
import { deriveTiming, type TimingBounds } from "./timing.ts";

/** Share by which a clock may be slow, as the pages of the platform say. */
const SLOW = 1.02;

const TICK_MS = 25;

function expectSound(bounds: TimingBounds): void {
  const timing = deriveTiming(bounds)._unsafeUnwrap();
  const { ownerLostMs, leaseMs } = timing;
  const stoppedMs = (ownerLostMs + TICK_MS + bounds.stopMs) * SLOW;
  expect(stoppedMs, "runs of a lost entry").to.be.below(bounds.resendMs);
  expect(leaseMs * SLOW, "runs of a lost side").to.be.below(bounds.resendMs);
  expect(leaseMs).to.be.at.most(bounds.maxLeaseMs);
  const overMs = (ownerLostMs + TICK_MS + leaseMs) * SLOW;
  expect(timing.runsOverMs, "repeats").to.be.above(overMs);
  expect(timing.sideLostMs).to.be.below(ownerLostMs);
  expect(timing.reclaimMs).to.be.at.most(ownerLostMs);
  expect(timing.heartbeatMs * 3).to.be.below(ownerLostMs);
  expect(timing.pauseMs).to.be.below(ownerLostMs);
}

describe("the times by which losses are noticed", () => {
  for (const resendMs of [800, 1300, 5000]) {
    it(`add up where callers come back after ${resendMs} ms`, () => {
      expectSound({ resendMs, maxLeaseMs: 1000, stopMs: 50 });
    });
  }

  it("add up, or are refused, whatever is declared", () => {
    const bounds = fc.record({
      resendMs: fc.integer({ min: 1, max: 20_000 }),
      maxLeaseMs: fc.integer({ min: 1, max: 20_000 }),
      stopMs: fc.integer({ min: 0, max: 2000 }),
    });
    fc.assert(fc.property(bounds, (declared) => {
      if (deriveTiming(declared).isOk()) expectSound(declared);
    }));
  });

  it("are refused where there is too little room", () => {
    const declared = { resendMs: 400, maxLeaseMs: 1000, stopMs: 50 };
    const refused = deriveTiming(declared)._unsafeUnwrapErr();
    expect(refused.message).to.contain("too little room");
  });
});
