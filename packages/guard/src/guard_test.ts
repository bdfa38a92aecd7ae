import { expect } from "chai";
import type {
  EntryFrame,
  EntryMessage,
  Member,
  Start,
  Table,
} from "@coltsfootreach/types";
import { createGuard, type Guard, type GuardEffect } from "./guard.ts";

const FRESHNESS_MS = 3000;

const SIZE = { cores: 1, memoryMb: 0, accelerators: 0 };

function member(incarnation: string): Member {
  return {
    incarnation,
    name: incarnation,
    dataCentre: "a",
    address: `127.0.0.1:${incarnation.length}`,
    draining: false,
  };
}

function tableOf(version: number, ...members: string[]): Table {
  return { version, members: members.map(member), removals: [] };
}

function start(attempt = 1, leftMs = 10_000): Start {
  return {
    kind: "start",
    job: "tenant\njob",
    index: 0,
    attempt,
    of: 1,
    class: "c",
    body: "",
    size: SIZE,
    declaredMs: 10,
    leftMs,
  };
}

function kinds(effects: readonly GuardEffect[]): readonly string[] {
  return effects.map((effect) => {
    if (effect.kind !== "send") return effect.kind;
    const { message } = effect;
    return message.kind === "refused" ? message.reason : message.kind;
  });
}

describe("a guard", () => {
  let guard: Guard;
  let sequence: number;

  beforeEach(() => {
    sequence = 0;
    guard = createGuard({
      identity: {
        side: "s",
        incarnation: "s1",
        dataCentre: "a",
        rack: "r",
        worker: "w",
      },
      freshnessMs: FRESHNESS_MS,
      queuePerSlot: 1,
      keepEvidenceMs: 60_000,
      keepResultsMs: 1000,
      maxJobs: 10,
    });
    guard.announce({
      server: "b",
      origin: "http://127.0.0.1:1",
      slots: 1,
      connections: 4,
      classes: ["c"],
      size: SIZE,
    }, 0);
  });

  function frame(
    entry: string,
    version: number,
    messages: readonly EntryMessage[],
    stampMs = 0,
  ): EntryFrame {
    sequence += 1;
    return {
      entry,
      sequence,
      tableVersion: version,
      configurationVersion: 0,
      echoedStampMs: stampMs,
      readStampMs: stampMs,
      ack: 0,
      messages,
    };
  }

  /** Makes one entry the owner of everything, confirmed at time 0. */
  function follow(version: number, entry: string): void {
    const table = tableOf(version, entry);
    guard.receive(frame(entry, version, [{ kind: "table", table }]), 0);
  }

  function ended(nowMs: number): readonly GuardEffect[] {
    const outcome = { index: 0, state: "complete", verdict: "ran" } as const;
    return guard.ended("tenant\njob", outcome, nowMs);
  }

  it("starts a task once and answers a repetition with its result", () => {
    follow(1, "e1");
    expect(kinds(guard.receive(frame("e1", 1, [start(1)]), 1)))
      .to.deep.equal(["run"]);
    expect(kinds(guard.receive(frame("e1", 1, [start(2)]), 2)))
      .to.deep.equal([]);
    expect(kinds(ended(3))).to.deep.equal(["result"]);
    expect(kinds(guard.receive(frame("e1", 1, [start(3)]), 4)))
      .to.deep.equal(["result"]);
  });

  it("refuses a start under another version or from another entry", () => {
    follow(2, "e2");
    expect(kinds(guard.receive(frame("e2", 1, [start()]), 1)))
      .to.deep.equal(["staleTable"]);
    expect(kinds(guard.receive(frame("e1", 2, [start()]), 1)))
      .to.deep.equal(["notOwner"]);
  });

  it("never goes back to an older table", () => {
    follow(3, "e3");
    follow(2, "e2");
    expect(guard.table().version).to.equal(3);
  });

  it("starts nothing once its table is unconfirmed for too long", () => {
    follow(1, "e1");
    const late = frame("e1", 1, [start()], 0);
    expect(kinds(guard.receive(late, FRESHNESS_MS)))
      .to.deep.equal(["unconfirmedTable"]);
    const fresh = frame("e1", 1, [start(2)], FRESHNESS_MS);
    expect(kinds(guard.receive(fresh, FRESHNESS_MS + 1)))
      .to.deep.equal(["run"]);
  });

  it("takes no start before every member has heard it", () => {
    const table = tableOf(1, "e1", "e2");
    const news: EntryMessage = { kind: "table", table };
    guard.receive(frame("e1", 1, [news]), 0);
    expect(guard.closedBecause(1)).to.equal("notRegistered");
    guard.receive(frame("e2", 1, []), 0);
    expect(guard.closedBecause(1)).to.equal(undefined);
  });

  it("registers anew when an entry has declared it lost", () => {
    follow(1, "e1");
    expect(guard.isOpen(1)).to.equal(true);
    const lost: EntryMessage = { kind: "registrationLost", registration: 1 };
    const effects = guard.receive(frame("e1", 1, [lost], 1), 2);
    expect(kinds(effects)).to.deep.equal(["sayHello"]);
    expect(guard.hello().registration).to.equal(2);
    expect(guard.closedBecause(3)).to.equal("notRegistered");
    guard.receive(frame("e1", 1, [], 3), 4);
    expect(guard.isOpen(5)).to.equal(true);
  });

  it("drops what waits for a slot when the job's owner changes", () => {
    follow(1, "e1");
    const other = { ...start(), job: "tenant\nother" };
    guard.receive(frame("e1", 1, [other, start()]), 1);
    expect(guard.load()).to.deep.equal({ running: 1, queued: 1 });
    follow(2, "e2");
    expect(guard.load()).to.deep.equal({ running: 1, queued: 0 });
    const collect: EntryMessage = {
      kind: "collect",
      tableVersion: 2,
      keptSince: 0,
    };
    const [effect] = guard.receive(frame("e2", 2, [collect]), 2);
    expect(effect).to.deep.include({ kind: "send", entry: "e2" });
    const { message } = effect as Extract<GuardEffect, { kind: "send" }>;
    expect(message).to.have.deep.property("jobs", [{
      job: "tenant\nother",
      of: 1,
      sealed: false,
      tasks: [{ index: 0, state: "running", attempt: 1, outcome: undefined }],
    }]);
  });

  it("gives evidence to an owner that had handed the job over before", () => {
    follow(1, "e1");
    guard.receive(frame("e1", 1, [start()]), 1);
    follow(2, "e2");
    follow(3, "e1");
    const collect: EntryMessage = {
      kind: "collect",
      tableVersion: 3,
      keptSince: 2,
    };
    const [effect] = guard.receive(frame("e1", 3, [collect]), 2);
    expect(effect).to.have.nested.property("message.kind", "evidence");
    expect(effect).to.have.nested.property(
      "message.jobs[0].job",
      "tenant\njob",
    );
  });

  it("drops a frame that comes after a newer one", () => {
    follow(1, "e1");
    const early = frame("e1", 1, [start()]);
    guard.receive(frame("e1", 1, []), 1);
    expect(guard.receive(early, 2)).to.deep.equal([]);
  });

  it("refuses what waits when its deadline passes", () => {
    follow(1, "e1");
    const other = { ...start(), job: "tenant\nother" };
    guard.receive(frame("e1", 1, [other, start(1, 50)]), 1);
    expect(kinds(guard.tick(60))).to.deep.equal(["deadlinePassed"]);
  });

  it("lets an accepted start run while it drains", () => {
    follow(1, "e1");
    const other = { ...start(), job: "tenant\nother" };
    guard.receive(frame("e1", 1, [other, start()]), 1);
    guard.drain();
    const outcome = { index: 0, state: "complete", verdict: "ran" } as const;
    expect(kinds(guard.ended("tenant\nother", outcome, 2)))
      .to.deep.equal(["result", "run"]);
    const third = { ...start(), job: "tenant\nthird" };
    expect(kinds(guard.receive(frame("e1", 1, [third]), 3)))
      .to.deep.equal(["draining"]);
  });

  it("starts nothing of a job whose end it has noted", () => {
    follow(1, "e1");
    const seal: EntryMessage = { kind: "sealJob", job: start().job, of: 1 };
    expect(kinds(guard.receive(frame("e1", 1, [seal]), 1)))
      .to.deep.equal(["jobSealed"]);
    expect(kinds(guard.receive(frame("e1", 1, [start()]), 2)))
      .to.deep.equal(["revoked"]);
  });

  it("refuses a job when it holds as much evidence as it may", () => {
    follow(1, "e1");
    for (let job = 0; job < 10; job++) {
      const seal = { kind: "sealJob", job: `tenant\n${job}`, of: 1 } as const;
      guard.receive(frame("e1", 1, [seal]), 1);
    }
    expect(kinds(guard.receive(frame("e1", 1, [start()]), 2)))
      .to.deep.equal(["evidenceFull"]);
  });
});
