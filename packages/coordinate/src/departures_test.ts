import { expect } from "chai";
import { draining, joined, left, without } from "@coltsfootreach/ownership";
import { EMPTY_TABLE, type Member } from "@coltsfootreach/types";
import type { ActDescription } from "./context.ts";
import { createDepartures, offerOf } from "./departures.ts";
import type { UndoneAct } from "./effect.ts";
import { createShedding } from "./shedding.ts";
import { createSides } from "./sides.ts";
import { createStandingActs } from "./standing_acts.ts";

function member(incarnation: string, name: string): Member {
  const address = `127.0.0.1:${incarnation.slice(1)}`;
  return {
    incarnation,
    name,
    dataCentre: "a",
    address,
    draining: false,
  };
}

describe("acts that stand", () => {
  let begun: ActDescription[];
  let ended: UndoneAct[];
  let drained: string[];

  function create() {
    begun = [];
    ended = [];
    drained = [];
    const acts = createStandingActs({
      act: (act) => begun.push(act),
      undone: (act) => ended.push(act),
    });
    const departures = createDepartures({
      acts,
      sidesKnown: () => 2,
      rules: () => ({ gone: [], drained }),
    });
    return { acts, departures };
  }

  it("are drains and takeovers of entries, until these return", () => {
    const { departures } = create();
    const one = joined(EMPTY_TABLE, member("i1", "entry-1"));
    const two = joined(one, member("i2", "entry-2"));
    const drain = draining(two, "i1");
    const gone = left(drain, "i1");
    const alone = without(
      joined(gone, member("i3", "entry-3")),
      new Set(["i3"]),
    );
    const back = joined(alone, member("i4", "entry-1"));
    const tables = [two, drain, gone, alone, back];
    tables.reduce((before, after) => {
      departures.noteTable(before, after);
      return after;
    });
    const third = joined(back, member("i5", "entry-3"));
    departures.noteTable(joined(gone, member("i3", "entry-3")), alone);
    departures.noteTable(back, third);
    expect(begun.map(({ kind, subject }) => [kind, subject])).to.deep.equal([
      ["drain", "entry-1"],
      ["takeOver", "entry-3"],
    ]);
    expect(begun[0]!.figures).to.include({ entriesLeft: 1, sidesKnown: 2 });
    expect(ended.map(({ kind }) => kind)).to.deep.equal(["drain", "takeOver"]);
  });

  it("are drains of backend servers that no operator asked for", () => {
    const { departures } = create();
    const sides = createSides();
    function hello(server: string | undefined, isDraining: boolean) {
      const before = offerOf(sides.find("s1"));
      departures.noteSide(
        before,
        sides.hello({
          kind: "hello",
          identity: {
            side: "s",
            incarnation: "s1",
            dataCentre: "a",
            rack: "r",
            worker: "w",
          },
          registration: 1,
          announcement: server === undefined ? undefined : {
            server,
            origin: "http://127.0.0.1:2",
            slots: 1,
            connections: 1,
            classes: [],
            size: { cores: 1, memoryMb: 1, accelerators: 0 },
          },
          draining: isDraining,
        }, 0),
      );
    }
    hello("b", false);
    hello(undefined, false);
    hello("b", false);
    drained = ["b"];
    hello("b", true);
    hello("b", false);
    drained = [];
    hello("b", true);
    expect(begun.map(({ subject }) => subject)).to.deep.equal(["b", "b"]);
    expect(ended).to.have.lengthOf(1);
  });

  it("are runs of refusals, with their counts at the end", () => {
    const shedding = createShedding(create().acts);
    const refusal = {
      code: "tooMuchQueued",
      verdict: "notRun",
      reason: "full",
    } as const;
    const job = { tenant: "t", tasks: 3, records: 9, refusal };
    for (let nowMs = 0; nowMs < 20_000; nowMs += 1_000) {
      shedding.refused(job, nowMs);
      shedding.check(nowMs);
    }
    shedding.refused({ ...job, refusal: { ...refusal, code: "conflict" } }, 0);
    expect(begun).to.have.lengthOf(1);
    shedding.check(24_000);
    expect(ended).to.deep.equal([{
      kind: "shed",
      subject: "t",
      figures: { refusedJobs: 20, refusedTasks: 60 },
    }]);
  });
});
