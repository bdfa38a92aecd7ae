import { expect } from "chai";
import { createFakeClock } from "../clock/fake_clock.ts";
import { createRunner } from "./runner.ts";

describe("the runner", () => {
  it("stretches what is left of a task that is throttled", async () => {
    const clock = createFakeClock();
    const runner = createRunner(clock);
    let endedAtMs = 0;
    runner.run({ id: "a", durationMs: 100 }).then(() =>
      endedAtMs = clock.nowMs()
    );
    await clock.advance(50);
    expect(runner.throttle("a", 0.5)).to.equal(true);
    await clock.advance(50);
    runner.throttle("a", 1);
    await clock.advance(1000);
    expect(endedAtMs).to.equal(125);
  });

  it("stops a task and knows nothing of it afterwards", async () => {
    const runner = createRunner(createFakeClock());
    const ended = runner.run({ id: "a", durationMs: 100 });
    expect(runner.checkpoint("a")).to.equal(true);
    expect(runner.stop("a")).to.equal(true);
    expect(await ended).to.equal("stopped");
    expect(runner.stop("a")).to.equal(false);
    expect(runner.checkpoints()).to.equal(1);
  });
});
