/**
 * Guards against input that is taken for fresh although it waited in the sockets
 * of a paused process.
 */
import { expect } from "chai";
import { setImmediate, setTimeout } from "node:timers/promises";
import { createStaleInput } from "./stale_input.ts";

interface Harness {
  readonly pauses: number[];
  /** Moves the clock on, by a pause of the process if `isPause` is true. */
  advance(ms: number, isPause?: boolean): void;
  maxAgeMs(): number;
}

function createHarness(): Harness {
  const pauses: number[] = [];
  let nowMs = 1000;
  let pendingPauseMs = 0;
  const staleInput = createStaleInput({
    detector: {
      takePauseMs() {
        const pauseMs = pendingPauseMs;
        pendingPauseMs = 0;
        return pauseMs;
      },
    },
    nowMs: () => nowMs,
    paused: (pauseMs) => pauses.push(pauseMs),
  });
  return {
    pauses,
    advance(ms, isPause = false) {
      nowMs += ms;
      if (isPause) pendingPauseMs = ms;
      staleInput.check();
    },
    maxAgeMs: staleInput.maxAgeMs,
  };
}

/** Longer than the window after the turns that are counted. */
const WINDOW_MS = 120;

describe("the age of input", () => {
  it("is 0 while the process runs", () => {
    const harness = createHarness();
    harness.advance(25);
    expect(harness.maxAgeMs()).to.equal(0);
  });

  it("is bounded by the pause and the time since", () => {
    const harness = createHarness();
    harness.advance(3000, true);
    expect(harness.maxAgeMs()).to.equal(3000);
    harness.advance(20);
    expect(harness.maxAgeMs()).to.equal(3020);
    expect(harness.pauses).to.deep.equal([3000]);
  });

  it("counts from the first of two pauses in a row", () => {
    const harness = createHarness();
    harness.advance(2000, true);
    harness.advance(900, true);
    expect(harness.maxAgeMs()).to.equal(2900);
  });

  it("stays unknown for some turns, however long each takes", async () => {
    const harness = createHarness();
    harness.advance(3000, true);
    for (let turn = 0; turn < 3; turn += 1) {
      await setImmediate();
      harness.advance(300);
      expect(harness.maxAgeMs()).to.be.above(3000);
    }
    await setTimeout(WINDOW_MS);
    expect(harness.maxAgeMs()).to.equal(0);
  });
});
