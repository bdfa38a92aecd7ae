import { expect } from "chai";
import { joined, ownerOf, without } from "@coltsfootreach/ownership";
import type { EvidenceGaps, Member, Table } from "@coltsfootreach/types";
import { createSettlement, type Settlement } from "./settlement.ts";

const FRESHNESS_MS = 3000;

/** Longer than the freshness with the allowed drift of clocks. */
const FENCED_MS = 3100;

const WINDOW_MS = 600_000;

const SKEW_MS = 100;

function member(incarnation: string): Member {
  return {
    incarnation,
    name: incarnation,
    dataCentre: "a",
    address: "127.0.0.1:1",
    draining: false,
  };
}

const THREE: Table = {
  version: 1,
  members: [
    { ...member("me"), address: "a:2" },
    member("other"),
    member("lost"),
  ],
  removals: [],
};

const NO_DOUBT: EvidenceGaps = {
  tableVersion: 0,
  bornBeforeWallMs: 0,
  leftMs: 0,
  isNew: false,
};

/** A job that the given entry owns under the table of three. */
function jobOf(entry: string): string {
  for (let number = 0;; number++) {
    const job = `tenant\n${number}`;
    if (ownerOf(THREE, job)?.incarnation === entry) return job;
  }
}

describe("a settlement", () => {
  const moved = jobOf("lost");
  const own = jobOf("me");
  let settlement: Settlement;
  let wallMs: number;

  beforeEach(() => {
    wallMs = 1_000_000;
    settlement = createSettlement({
      me: "me",
      freshnessMs: FRESHNESS_MS,
      windowMs: WINDOW_MS,
      skewMs: SKEW_MS,
    });
    settlement.adopt(THREE, 0);
    handOver("other", 1);
    handOver("lost", 1);
    settlement.registry.hello("s", { incarnation: "s1", registration: 1 }, 0);
    settlement.tick({ nowMs: 0, wallMs });
  });

  function handOver(entry: string, tableVersion: number): void {
    settlement.handedOver({ entry, tableVersion, doubt: NO_DOUBT }, 0);
  }

  function loseEntry(...entries: string[]): void {
    settlement.adopt(without(THREE, new Set(entries)), 10);
    handOver("other", 2);
  }

  function tick(nowMs: number): void {
    settlement.tick({ nowMs, wallMs });
  }

  it("keeps its own keys through the loss of another entry", () => {
    loseEntry("lost");
    expect(settlement.isSettled(own)).to.equal(true);
    expect(settlement.isSettled(moved)).to.equal(false);
  });

  it("takes over as soon as every known side has given evidence", () => {
    loseEntry("lost");
    tick(11);
    expect(settlement.isSettled(moved)).to.equal(false);
    settlement.registry.evidence("s1", 2);
    tick(12);
    expect(settlement.isSettled(moved)).to.equal(true);
    expect(settlement.isInGap(moved, undefined)).to.equal(false);
  });

  it("waits out the sides' confirmations when a side is silent", () => {
    loseEntry("lost");
    settlement.follows("other", 2);
    tick(20);
    tick(20 + FRESHNESS_MS);
    expect(settlement.isSettled(moved)).to.equal(false);
    tick(20 + FENCED_MS);
    expect(settlement.isSettled(moved)).to.equal(true);
    expect(settlement.isInGap(moved, wallMs)).to.equal(true);
    expect(settlement.isInGap(moved, wallMs + SKEW_MS + 1)).to.equal(false);
    expect(settlement.isInGap(own, wallMs)).to.equal(false);
  });

  it("does not wait before every live entry follows the new table", () => {
    loseEntry("lost");
    tick(20);
    tick(20 + FENCED_MS);
    expect(settlement.isSettled(moved)).to.equal(false);
  });

  it("cannot wait it out when most entries of the table are lost", () => {
    loseEntry("lost", "other");
    tick(20);
    tick(20 + 10 * FENCED_MS);
    expect(settlement.isSettled(moved)).to.equal(false);
    settlement.declareGone(new Set(["lost", "other"]));
    tick(30 + 10 * FENCED_MS);
    tick(30 + 11 * FENCED_MS);
    expect(settlement.isSettled(moved)).to.equal(true);
  });

  it("does not trust a former run of a side to have started nothing", () => {
    settlement.registry.hello("s", { incarnation: "s2", registration: 1 }, 1);
    const departedAt = wallMs;
    tick(5);
    wallMs += 50;
    loseEntry("lost");
    settlement.registry.evidence("s2", 2);
    tick(20);
    expect(settlement.isSettled(moved)).to.equal(true);
    expect(settlement.isInGap(moved, departedAt)).to.equal(true);
    expect(settlement.isInGap(moved, departedAt + SKEW_MS + 1))
      .to.equal(false);
  });

  it("tells a new member of an owner that was lost just before it", () => {
    const lost = without(THREE, new Set(["lost"]));
    const next = joined(lost, { ...member("new"), address: "a:3" });
    settlement.adopt(next, 10);
    expect(settlement.doubt(10).tableVersion).to.equal(next.version);
  });

  it("goes on when every earlier run has been replaced under its name", () => {
    const nameOf = (name: string, run: number): Member => {
      return { ...member(`${name} ${run}`), name };
    };
    const late = createSettlement({
      me: "a 2",
      freshnessMs: FRESHNESS_MS,
      windowMs: WINDOW_MS,
      skewMs: SKEW_MS,
    });
    const former = ["a", "b", "c"].map((name, index) => ({
      incarnation: `${name} 1`,
      name,
      version: 4 + index,
    }));
    const members = [nameOf("a", 2), nameOf("b", 1)];
    const removals = former.filter(({ name }) => name !== "b");
    late.adopt({ version: 7, members, removals }, 0);
    const replaced = ["a", "b", "c"].map((name) => nameOf(name, 2));
    late.adopt({ version: 10, members: replaced, removals: former }, 10);
    for (const entry of ["b 2", "c 2"]) {
      const doubt = { ...NO_DOUBT, isNew: true };
      late.handedOver({ entry, tableVersion: 10, doubt }, 10);
      late.follows(entry, 10);
    }
    late.registry.hearOf({ incarnation: "s1", registration: 1, side: "s" }, 10);
    late.tick({ nowMs: 20, wallMs });
    expect(late.isSettled(own)).to.equal(false);
    late.tick({ nowMs: 20 + FENCED_MS, wallMs });
    expect(late.isSettled(own)).to.equal(true);
  });

  it("forgets a side only when every member has declared it lost", () => {
    const side = { incarnation: "s1", registration: 1 };
    const { registry } = settlement;
    registry.lost(side, "me");
    registry.lost(side, "other");
    registry.forgetLost(THREE, "me");
    expect(registry.registrations())
      .to.deep.equal([{ ...side, side: "s" }]);
    registry.lost(side, "lost");
    registry.forgetLost(THREE, "me");
    expect(registry.registrations()).to.deep.equal([]);
  });

  it("starts over when another entry is lost during a takeover", () => {
    loseEntry("lost");
    settlement.registry.evidence("s1", 2);
    const two = without(THREE, new Set(["lost"]));
    settlement.adopt(without(two, new Set(["other"])), 30);
    tick(31);
    expect(settlement.isSettled(jobOf("other"))).to.equal(false);
    settlement.registry.evidence("s1", 3);
    tick(32);
    expect(settlement.isSettled(jobOf("other"))).to.equal(true);
  });
});
