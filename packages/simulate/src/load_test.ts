import { expect } from "chai";
import { type LoadOptions, type LoadResult, playLoad } from "./load.ts";

function play(options: Partial<LoadOptions>): LoadResult {
  const result = playLoad({ seed: 7919, seconds: 10, ...options });
  expect(result.breaches).to.deep.equal([]);
  return result;
}

/** Queues by priority; the first is the highest. */
const QUEUES = ["short", "medium", "long"] as const;

describe("a load above the capacity of the fleet", () => {
  it("costs the queues of lower priority first", () => {
    const { queues } = play({ load: 1.2 });
    const [high, middle, low] = QUEUES.map((name) => queues[name]!.inTime);
    expect(high).to.be.at.least(middle!);
    expect(middle).to.be.at.least(low!);
  }).timeout(60_000);

  it("serves the largest jobs of a queue at least half as often", () => {
    const { queues } = play({ load: 1.2 });
    for (const name of QUEUES) {
      const { inTime, largestInTime } = queues[name]!;
      expect(largestInTime, name).to.be.at.least(inTime / 2);
    }
  }).timeout(60_000);

  it("keeps most of the goodput that the fleet has at its capacity", () => {
    const { outcomes } = play({ load: 1.5 });
    const work = (done: boolean) =>
      outcomes.filter(({ result }) => !done || result === "inTime")
        .reduce((sum, job) => sum + job.work, 0);
    const capacityShare = work(true) / (work(false) / 1.5);
    expect(capacityShare).to.be.above(0.7);
  }).timeout(60_000);
});

describe("a load that the fleet can carry", () => {
  it("is served alike in all queues, with estimates off by a factor", () => {
    const { queues } = play({ load: 0.6, estimateSpread: Math.log(2) });
    for (const name of QUEUES) {
      expect(queues[name]!.inTime, name).to.be.above(0.83);
    }
  }).timeout(60_000);

  it("is served at every entry, whatever its share of the callers", () => {
    const { queues } = play({ load: 0.6, entryWeights: [70, 15, 15] });
    for (const name of QUEUES) {
      expect(queues[name]!.inTime, name).to.be.above(0.83);
    }
  }).timeout(60_000);

  it("is served again after all processes and servers were lost", () => {
    const downMs = 1400;
    const { outcomes } = play({
      load: 0.6,
      script(fleet, clock) {
        clock.after(4000, () => {
          for (const entry of fleet.entries) entry.kill(downMs);
          for (const side of fleet.sides) {
            side.crashServer(downMs);
            side.kill(downMs);
          }
        });
      },
    });
    const settled = outcomes.filter(({ submittedAt }) => submittedAt > 8000);
    const inTime = settled.filter(({ result }) => result === "inTime");
    expect(inTime.length / settled.length).to.be.above(0.83);
  }).timeout(60_000);
});
