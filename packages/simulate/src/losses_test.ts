import type { Timing } from "@coltsfootreach/run";
import { SAMPLE_TIMING } from "@coltsfootreach/standin";
import { expect } from "chai";
import type { SimulatedClock } from "./clock.ts";
import type { Fleet } from "./fleet.ts";
import { play, type PlayOptions, type PlayResult } from "./play.ts";

const ENTRIES = 3;

const SIDES = 6;

/** Plays ten seconds in which nothing fails but what the script brings. */
function playScript(
  script: PlayOptions["script"],
  timing: Partial<Timing> = {},
): PlayResult {
  return play({
    seed: 11,
    seconds: 10,
    jobsPerSecond: 30,
    failShare: 0,
    entries: ENTRIES,
    sides: SIDES,
    timing: { ...SAMPLE_TIMING, ...timing },
    ...(script !== undefined && { script }),
  });
}

/** Does something each second while callers come. */
function eachSecond(clock: SimulatedClock, act: (second: number) => void) {
  for (let second = 1; second < 10; second += 1) {
    clock.after(second * 1000, () => act(second));
  }
}

/** Nothing is heard of one side for so long, each second of another one. */
function silenceSides(silentMs: number): PlayOptions["script"] {
  return (fleet, clock) =>
    eachSecond(clock, (second) => {
      const ways = [...Array(ENTRIES).keys()].map((entry) =>
        fleet.way(entry, second % SIDES, false)
      );
      for (const way of ways) way.isCut = true;
      clock.after(silentMs, () => {
        for (const way of ways) way.isCut = false;
      });
    });
}

function resetStreams(fleet: Fleet, clock: SimulatedClock): void {
  eachSecond(clock, (second) => {
    for (let entry = 0; entry < ENTRIES; entry += 1) {
      fleet.resetStream(entry, second % SIDES);
    }
  });
}

function freezeSides(fleet: Fleet, clock: SimulatedClock): void {
  eachSecond(clock, (second) => {
    fleet.sides[second % SIDES]!.frozenUntil = clock.now() + 2500;
  });
}

function loseAnswers(fleet: Fleet): void {
  for (const side of fleet.sides) side.lossShare = 0.2;
}

function expectKept({ breaches, stuck }: PlayResult): void {
  expect(breaches).to.deep.equal([]);
  expect(stuck).to.equal(0);
}

describe("a side that is only silent for a while", () => {
  const SILENT_MS = 300;

  it("keeps its runs, and none is started again", () => {
    const result = playScript(silenceSides(SILENT_MS));
    expectKept(result);
    expect(result.counts.starts).to.equal(result.tasks);
  });

  it("would have them started again if entries were hastier", () => {
    const hasty = { sideLostMs: 100, runExpiryMs: 150 };
    const result = playScript(silenceSides(SILENT_MS), hasty);
    expect(result.counts.starts).to.be.above(result.tasks);
  });
});

describe("a stream that is replaced while both ends live", () => {
  it("hands its runs over, and none is started again", () => {
    const result = playScript(resetStreams);
    expectKept(result);
    expect(result.counts.starts).to.equal(result.tasks);
  });

  it("would lose them if sides gave no time to claim them", () => {
    const result = playScript(resetStreams, { reclaimMs: 0 });
    expect(result.counts.starts).to.be.above(result.tasks);
  });
});

describe("a side that stands still beyond its leases", () => {
  it("acts on none of them when it goes on", () => {
    expectKept(playScript(freezeSides));
  });

  it("would run tasks twice if entries did not wait for the leases", () => {
    const result = playScript(freezeSides, {
      sideLostMs: 150,
      runExpiryMs: 0,
    });
    expect(result.breaches.map(({ rule }) => rule)).to.include("TWICE");
  });
});

describe("answers that are lost after the work was begun", () => {
  it("lead to no second run beside it, and to no false refusal", () => {
    const result = playScript(loseAnswers);
    expectKept(result);
    expect(result.counts.completed).to.be.above(0);
  });
});
