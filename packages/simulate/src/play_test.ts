import { expect } from "chai";
import { play, type PlayOptions, type PlayResult } from "./play.ts";

const SEEDS = 12;

/** Seeds that failed once, each with its cause. */
const REGRESSIONS = [
  // A side that started again took the lease of the runs it found for expired.
  5,
];

function playSeed(seed: number, more: Partial<PlayOptions> = {}): PlayResult {
  return play({
    seed,
    seconds: 12,
    jobsPerSecond: 40,
    faultEveryMs: 700,
    ...more,
  });
}

function expectKept(result: PlayResult): void {
  expect(result.breaches, `seed ${result.seed}`).to.deep.equal([]);
  expect(result.stuck, `seed ${result.seed}`).to.equal(0);
}

describe("a played fleet", () => {
  it("completes every job in time on a calm day", () => {
    const result = playSeed(1, {
      faultEveryMs: undefined,
      jobsPerSecond: 20,
      failShare: 0,
    });
    expectKept(result);
    const { jobs, completed, failed, refused } = result.counts;
    expect(refused).to.equal(0);
    expect(failed).to.equal(0);
    expect(completed).to.equal(jobs);
    expect(result.inTime / jobs).to.be.above(0.97);
  });

  it("keeps the promises under drawn faults", () => {
    for (let seed = 101; seed < 101 + SEEDS; seed += 1) {
      expectKept(playSeed(seed));
    }
  }).timeout(120_000);

  it("keeps the promises on seeds that failed before", () => {
    for (const seed of REGRESSIONS) {
      expectKept(playSeed(seed, { seconds: 20 }));
    }
  }).timeout(60_000);

  it("serves most of what it has room for when twice as much comes", () => {
    // 6 servers of 10 tasks at a time; a job takes some 4 tasks of 280 ms.
    const roomJobsPerSecond = (6 * 10) / (4 * 0.28);
    const result = playSeed(7, {
      faultEveryMs: undefined,
      jobsPerSecond: 2 * roomJobsPerSecond,
    });
    expectKept(result);
    expect(result.inTime / (12 * roomJobsPerSecond)).to.be.above(0.7);
  });
});
