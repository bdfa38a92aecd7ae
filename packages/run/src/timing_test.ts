import { expect } from "chai";
import fc from "fast-check";
import { deriveTiming, IDLE_TICK_MS, type TimingBounds } from "./timing.ts";

/** Maximum factor by which a clock may run slow, per the platform's docs. */
const CLOCK_DRIFT_FACTOR = 1.02;

const TICK_MS = 25;

function expectConsistentTiming(bounds: TimingBounds): void {
  const timing = deriveTiming(bounds)._unsafeUnwrap();
  const { entryLostMs: silenceTimeoutMs, leaseMs } = timing;
  const stoppedMs = (silenceTimeoutMs + TICK_MS + bounds.stopMs) *
    CLOCK_DRIFT_FACTOR;
  expect(stoppedMs, "runs of a lost entry").to.be.below(bounds.resendMs);
  expect(leaseMs * CLOCK_DRIFT_FACTOR, "runs of a lost side").to.be.below(
    bounds.resendMs,
  );
  expect(leaseMs).to.be.at.most(bounds.maxLeaseMs);
  const expiryMs = (silenceTimeoutMs + TICK_MS + leaseMs) * CLOCK_DRIFT_FACTOR;
  expect(timing.runExpiryMs, "repeats").to.be.above(expiryMs);
  expect(timing.sideLostMs).to.be.below(silenceTimeoutMs);
  expect(timing.reclaimMs).to.be.at.most(silenceTimeoutMs);
  expect(timing.heartbeatMs * 3).to.be.below(silenceTimeoutMs);
  expect(timing.pauseThresholdMs).to.be.below(silenceTimeoutMs);
  const resubmitAfterMs = timing.resubmitAfterMs * CLOCK_DRIFT_FACTOR;
  expect(resubmitAfterMs, "resubmission").to.be.below(bounds.resendMs);
  expect(timing.idleHeartbeatMs + IDLE_TICK_MS, "heartbeats of idle streams")
    .to.be.at.most(timing.resubmitAfterMs);
  expect(timing.idleHeartbeatMs * 2).to.be.below(timing.idleSideLostMs);
  expect(timing.idleSideLostMs).to.be.below(timing.idleEntryLostMs);
}

describe("deriveTiming", () => {
  for (const resendMs of [800, 1300, 5000]) {
    it(`is consistent if callers resubmit after ${resendMs} ms`, () => {
      expectConsistentTiming({ resendMs, maxLeaseMs: 1000, stopMs: 50 });
    });
  }

  it("is consistent or returns an error for any declared times", () => {
    const bounds = fc.record({
      resendMs: fc.integer({ min: 1, max: 20_000 }),
      maxLeaseMs: fc.integer({ min: 1, max: 20_000 }),
      stopMs: fc.integer({ min: 0, max: 2000 }),
    });
    fc.assert(fc.property(bounds, (declared) => {
      if (deriveTiming(declared).isOk()) expectConsistentTiming(declared);
    }));
  });

  it("rejects declared times that are too short", () => {
    const declared = { resendMs: 400, maxLeaseMs: 1000, stopMs: 50 };
    const error = deriveTiming(declared)._unsafeUnwrapErr();
    expect(error.message).to.contain("too little room");
  });
});
