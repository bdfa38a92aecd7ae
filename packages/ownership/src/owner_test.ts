import { expect } from "chai";
import type { Member, Table } from "@coltsfootreach/types";
import { ownerOf } from "./owner.ts";

const KEYS = 30_000;

/** Largest share by which a member's keys may differ from an equal part. */
const MAX_SKEW = 0.1;

function tableOf(names: readonly string[]): Table {
  const members = names.map((incarnation): Member => ({
    incarnation,
    name: incarnation,
    dataCentre: "kiln-yard",
    address: "10.0.0.1:7000",
    draining: false,
  }));
  return { version: 1, members, removals: [] };
}

function keys(): readonly string[] {
  return Array.from({ length: KEYS }, (_, number) => `team\nkey-${number}`);
}

describe("ownerOf", () => {
  it("spreads keys evenly over the members", () => {
    const table = tableOf(["a-1", "a-2", "a-3", "a-4", "a-5"]);
    const counts = new Map<string, number>();
    for (const key of keys()) {
      const owner = ownerOf(table, key)!.incarnation;
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
    const part = KEYS / table.members.length;
    for (const { incarnation } of table.members) {
      const skew = Math.abs((counts.get(incarnation) ?? 0) - part) / part;
      expect(skew, incarnation).to.be.below(MAX_SKEW);
    }
  });

  it("moves only the keys of a member that goes, to all others alike", () => {
    const before = tableOf(["a-1", "a-2", "a-3", "a-4"]);
    const after = tableOf(["a-1", "a-2", "a-3"]);
    const gained = new Map<string, number>();
    let moved = 0;
    for (const key of keys()) {
      const old = ownerOf(before, key)!.incarnation;
      const next = ownerOf(after, key)!.incarnation;
      if (old !== "a-4") {
        expect(next).to.equal(old);
        continue;
      }
      moved += 1;
      gained.set(next, (gained.get(next) ?? 0) + 1);
    }
    const part = moved / after.members.length;
    for (const { incarnation } of after.members) {
      const skew = Math.abs((gained.get(incarnation) ?? 0) - part) / part;
      expect(skew, incarnation).to.be.below(MAX_SKEW);
    }
  });
});
