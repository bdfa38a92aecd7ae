import type {
  Announcement,
  DispatchFrame,
  Offer,
  RunUpdate,
} from "@coltsfootreach/run";
import { SAMPLE_TIMING } from "@coltsfootreach/standin";
import { expect } from "chai";
import type { ListOrder, ListReply, RunningRow } from "./calls.ts";
import type { WorkerEffect } from "./effect.ts";
import { createWorkerCore, type WorkerCore } from "./worker_core.ts";

const OWNER = 1;

const ANNOUNCEMENT: Announcement = {
  id: "server",
  born: 77,
  service: "pool",
  address: "here:1",
  dataCentre: "a",
  capacity: { cpu: 4000, memoryMb: 1000, gpu: 0 },
  labels: ["a"],
  isDraining: false,
  remainingMs: 0,
  sequence: 1,
};

interface Bench {
  readonly core: WorkerCore;
  /** Effects since the last call. */
  take(now: number): readonly WorkerEffect[];
  news(now: number): readonly RunUpdate[];
  offer(index: number, now: number, more?: Partial<Offer>): void;
  /** Answers the list that is on its way. */
  listed(
    now: number,
    reply?: Partial<Extract<ListReply, { kind: "listed" }>>,
  ): void;
  replyToList(now: number, reply: ListReply): void;
}

function refOf(index: number, run = 1) {
  return { task: { job: "job", occurrence: 0, step: 0, index }, run };
}

function frame(sequence: number, more: Partial<DispatchFrame>): DispatchFrame {
  return { kind: "dispatch", sequence, offers: [], stops: [], ...more };
}

/** A core whose server has joined and runs nothing, with one entry. */
function createBench(): Bench {
  const core = createWorkerCore({
    side: "side",
    dataCentre: "a",
    timing: SAMPLE_TIMING,
  });
  let listOrder: ListOrder | undefined;
  let sequence = 0;

  function take(now: number): readonly WorkerEffect[] {
    const effects = core.takeEffects(now);
    for (const effect of effects) {
      if (effect.kind === "list") listOrder = effect.order;
    }
    return effects;
  }

  function replyToList(now: number, reply: ListReply): void {
    core.listReplied(listOrder!, reply, now);
  }

  const bench: Bench = {
    core,
    take,
    news: (now) =>
      take(now).flatMap((effect) =>
        effect.kind === "send" ? effect.frame.news : []
      ),
    offer(index, now, more = {}) {
      sequence += 1;
      const ref = refOf(index);
      const offer: Offer = {
        ...ref,
        payload: "p",
        resources: { cpu: 1000, memoryMb: 10, gpu: 0 },
        estimateMs: 100,
        server: "server",
        born: 77,
        ...more,
      };
      core.ownerSent(OWNER, frame(sequence, { offers: [offer] }), now);
    },
    listed(now, reply = {}) {
      replyToList(now, {
        kind: "listed",
        clockMs: 5000 + now,
        born: 77,
        running: [],
        ends: [],
        ...reply,
      });
    },
    replyToList,
  };
  core.announced(ANNOUNCEMENT);
  take(0);
  bench.listed(1);
  take(1);
  bench.listed(2);
  core.ownerOpened(OWNER, 2);
  take(2);
  return bench;
}

function starts(effects: readonly WorkerEffect[]) {
  return effects.flatMap((effect) =>
    effect.kind === "start" ? [effect.order] : []
  );
}

function stops(effects: readonly WorkerEffect[]) {
  return effects.flatMap((effect) =>
    effect.kind === "stop" ? [effect.order.ref] : []
  );
}

function lists(effects: readonly WorkerEffect[]) {
  return effects.filter((effect) => effect.kind === "list");
}

/** Starts one run, after which the side asks for its end. */
function startOne(bench: Bench): void {
  bench.offer(0, 10);
  bench.take(10);
  bench.core.startReplied(refOf(0), { kind: "started", clockMs: 0 }, 11);
}

function row(index: number, run = 1): RunningRow {
  return { ref: refOf(index, run), percent: 1 };
}

describe("a side's decisions", () => {
  it("starts offers while there is room and refuses the rest", () => {
    const bench = createBench();
    for (let index = 0; index < 5; index += 1) bench.offer(index, 10);
    const effects = bench.take(10);
    expect(starts(effects)).to.have.length(4);
    const news = effects.flatMap((effect) =>
      effect.kind === "send" ? effect.frame.news : []
    );
    expect(news).to.deep.equal([{
      kind: "refused",
      ref: refOf(4),
      reason: "noRoom",
      highestRun: 0,
    }]);
  });

  it("keeps the room of a run that is being stopped until its end is listed", () => {
    const bench = createBench();
    bench.offer(0, 10, { resources: { cpu: 4000, memoryMb: 1, gpu: 0 } });
    bench.take(10);
    bench.core.startReplied(refOf(0), { kind: "started", clockMs: 0 }, 11);
    bench.take(11);
    bench.core.ownerSent(OWNER, frame(2, { stops: [refOf(0)] }), 12);
    expect(stops(bench.take(12))).to.deep.equal([refOf(0)]);
    bench.core.stopReplied(refOf(0), { isBarred: true }, 13);
    bench.offer(1, 14);
    expect(starts(bench.take(14))).to.deep.equal([]);
    const end = { number: 1, ref: refOf(0), end: "stopped" as const };
    bench.listed(15, { ends: [end] });
    bench.offer(2, 16);
    expect(starts(bench.take(16))).to.have.length(1);
  });

  it("bars an unanswered start before it says that the run is over", () => {
    const bench = createBench();
    bench.offer(0, 10);
    bench.take(10);
    bench.core.startReplied(refOf(0), { kind: "unanswered" }, 70);
    const effects = bench.take(70);
    expect(stops(effects)).to.deep.equal([refOf(0)]);
    bench.core.tick(75);
    bench.core.stopReplied(refOf(0), { isBarred: false }, 130);
    expect(bench.news(130)).to.deep.equal([]);
    bench.core.tick(240);
    expect(stops(bench.take(240))).to.deep.equal([refOf(0)]);
    bench.core.stopReplied(refOf(0), { isBarred: true }, 241);
    expect(bench.news(241)).to.deep.equal([]);
    // This list was sent before the stop was answered and proves nothing.
    bench.listed(242);
    expect(bench.news(242)).to.deep.equal([]);
    bench.listed(243);
    const [news] = bench.news(243);
    expect(news).to.include({ kind: "ended", end: "stopped" });
  });

  it("refuses a run number that it has seen for the task", () => {
    const bench = createBench();
    bench.offer(0, 10);
    bench.take(10);
    bench.core.startReplied(refOf(0), { kind: "started", clockMs: 0 }, 11);
    bench.take(11);
    bench.listed(20, { ends: [{ number: 1, ref: refOf(0), end: "done" }] });
    bench.take(20);
    bench.offer(0, 30);
    expect(bench.news(30)).to.deep.equal([{
      kind: "refused",
      ref: refOf(0),
      reason: "superseded",
      highestRun: 1,
    }]);
  });

  it("stops the runs of an entry that has been silent for 650 ms", () => {
    const bench = createBench();
    bench.offer(0, 10);
    bench.take(10);
    bench.core.startReplied(refOf(0), { kind: "started", clockMs: 0 }, 11);
    const stopped: unknown[] = [];
    for (let now = 25; now <= 700; now += 25) {
      bench.core.tick(now);
      stopped.push(...stops(bench.take(now)));
      bench.listed(now, { running: [row(0)] });
      if (now < 660) expect(stopped).to.deep.equal([]);
    }
    expect(stopped[0]).to.deep.equal(refOf(0));
  });

  it("keeps runs for an entry that opens its stream again at once", () => {
    const bench = createBench();
    bench.offer(0, 10);
    bench.take(10);
    bench.core.startReplied(refOf(0), { kind: "started", clockMs: 0 }, 11);
    bench.core.ownerClosed(OWNER, 20);
    bench.core.ownerOpened(2, 100);
    const claim = {
      ref: refOf(0),
      resources: { cpu: 1000, memoryMb: 10, gpu: 0 },
      estimateMs: 100,
    };
    bench.core.ownerSent(2, frame(1, { claims: [claim] }), 110);
    bench.core.tick(400);
    expect(stops(bench.take(400))).to.deep.equal([]);
    bench.core.tick(425);
    expect(stops(bench.take(425))).to.deep.equal([]);
  });

  it("takes the lease of runs it finds after a restart for just renewed", () => {
    const bench = createBench();
    bench.core.left("server");
    bench.core.announced({ ...ANNOUNCEMENT, id: "next" });
    bench.take(4);
    bench.replyToList(5, { kind: "fenced", clockMs: 9000 });
    bench.take(5);
    bench.listed(6, { running: [row(0)] });
    bench.core.tick(30);
    const lost = bench.news(30).filter((news) => news.kind === "lost");
    expect(lost).to.deep.equal([]);
    expect(bench.core.runs()).to.equal(1);
  });

  it("stops found runs that nobody claims", () => {
    const bench = createBench();
    bench.offer(0, 10);
    bench.take(10);
    bench.core.startReplied(refOf(0), { kind: "started", clockMs: 0 }, 11);
    bench.take(11);
    bench.listed(12, { running: [row(0), row(9)] });
    bench.take(12);
    for (let now = 25; now <= 225; now += 25) {
      bench.core.tick(now);
      bench.core.ownerSent(OWNER, frame(now, {}), now);
    }
    expect(stops(bench.take(226))).to.deep.equal([refOf(9)]);
  });

  it("stops a run whose claim waited longer than its stream lived", () => {
    const core = createWorkerCore({
      side: "side",
      dataCentre: "a",
      timing: SAMPLE_TIMING,
    });
    const orders: ListOrder[] = [];
    const take = (now: number) => {
      const effects = core.takeEffects(now);
      for (const effect of effects) {
        if (effect.kind === "list") orders.push(effect.order);
      }
      return effects;
    };
    const claim = {
      ref: refOf(0),
      resources: { cpu: 1000, memoryMb: 10, gpu: 0 },
      estimateMs: 100,
    };
    core.ownerOpened(OWNER, 0);
    core.ownerSent(OWNER, frame(1, { claims: [claim] }), 1);
    core.ownerClosed(OWNER, 2);
    core.announced(ANNOUNCEMENT);
    take(3);
    core.listReplied(orders.at(-1)!, { kind: "fenced", clockMs: 900 }, 4);
    take(4);
    const listed = {
      kind: "listed",
      clockMs: 905,
      born: 77,
      running: [row(0)],
      ends: [],
    } as const;
    core.listReplied(orders.at(-1)!, listed, 5);
    take(5);
    core.tick(300);
    expect(stops(take(300))).to.deep.equal([refOf(0)]);
  });

  it("starts runs and renews them for 700 ms at most", () => {
    const bench = createBench();
    bench.offer(0, 10);
    const [start] = starts(bench.take(10));
    // The server's clock is 5,000 ms ahead.
    expect(start?.untilMs).to.equal(5710);
    bench.core.startReplied(refOf(0), { kind: "started", clockMs: 0 }, 11);
    const [list] = lists(bench.take(12));
    expect(list?.kind === "list" && list.order.untilMs).to.equal(5711);
  });

  it("counts a renewal that is on its way before a lease is over", () => {
    const bench = createBench();
    bench.offer(0, 10);
    bench.take(10);
    bench.core.startReplied(refOf(0), { kind: "started", clockMs: 0 }, 11);
    bench.take(11);
    bench.listed(100, { running: [row(0)] });
    bench.take(100);
    // The process froze; the list of 100 may have renewed until 800.
    bench.core.tick(850);
    bench.core.ownerSent(OWNER, frame(9, {}), 850);
    expect(bench.news(850)).to.deep.equal([]);
    bench.core.tick(886);
    expect(bench.news(886)).to.deep.equal([{
      kind: "lost",
      ref: refOf(0),
      reason: "lease ran out",
    }]);
  });

  it("starts nothing on a server that drains or that answers as another life", () => {
    const bench = createBench();
    const draining = { ...ANNOUNCEMENT, isDraining: true, sequence: 2 };
    bench.core.announced(draining);
    bench.offer(0, 11);
    expect(bench.news(11)).to.deep.include({
      kind: "refused",
      ref: refOf(0),
      reason: "closed",
      highestRun: 0,
    });
    const back = { ...ANNOUNCEMENT, sequence: 3 };
    bench.core.announced(back);
    bench.offer(1, 21, { born: 78 });
    const [news] = bench.news(21);
    expect(news).to.include({ kind: "refused", reason: "otherServer" });
  });

  it("ignores an announcement that is older than the last one", () => {
    const bench = createBench();
    bench.core.announced({ ...ANNOUNCEMENT, isDraining: true, sequence: 5 });
    bench.core.announced({ ...ANNOUNCEMENT, sequence: 4 });
    bench.offer(0, 12);
    const [news] = bench.news(12);
    expect(news).to.include({ kind: "refused", reason: "closed" });
  });

  it("reports a run whose progress stands still", () => {
    const bench = createBench();
    bench.offer(0, 10);
    bench.take(10);
    bench.core.startReplied(refOf(0), { kind: "started", clockMs: 0 }, 11);
    bench.take(11);
    const stalled: RunUpdate[] = [];
    for (let now = 50; now <= 400; now += 50) {
      bench.listed(now, { running: [row(0)] });
      stalled.push(...bench.news(now));
      if (now < 300) expect(stalled).to.deep.equal([]);
    }
    expect(stalled).to.deep.equal([{ kind: "stalled", ref: refOf(0) }]);
  });

  it("tries one run at a time after failures in a row", () => {
    const bench = createBench();
    for (const index of [0, 1]) {
      bench.offer(index, 10);
      bench.take(10);
      const started = { kind: "started", clockMs: 0 } as const;
      bench.core.startReplied(refOf(index), started, 11);
      bench.take(11);
      const end = {
        number: index + 1,
        ref: refOf(index),
        end: "failed" as const,
      };
      bench.listed(20, { ends: [end] });
      bench.take(20);
    }
    bench.offer(2, 30);
    const [news] = bench.news(30);
    expect(news).to.include({ kind: "refused", reason: "suspect" });
    bench.offer(3, 600);
    bench.offer(4, 600);
    expect(starts(bench.take(600))).to.have.length(1);
  });

  it("starts nothing that it reads after it stood still", () => {
    const bench = createBench();
    bench.core.suspended(10);
    bench.offer(0, 10);
    expect(bench.news(10)).to.deep.include({
      kind: "refused",
      ref: refOf(0),
      reason: "closed",
      highestRun: 0,
    });
    bench.offer(1, 70);
    expect(starts(bench.take(70))).to.have.length(1);
  });

  it("orders nothing for an entry whose stream closes in the same turn", () => {
    const bench = createBench();
    bench.offer(0, 10);
    bench.core.ownerClosed(OWNER, 10);
    expect(starts(bench.take(10))).to.deep.equal([]);
    expect(bench.core.runs()).to.equal(0);
  });

  it("takes no offers before it knows what runs", () => {
    const bench = createBench();
    bench.replyToList(10, { kind: "otherLife" });
    bench.core.announced({ ...ANNOUNCEMENT, id: "next", born: 78 });
    bench.take(20);
    bench.listed(21, { born: 78 });
    bench.offer(0, 21, { server: "next", born: 78 });
    expect(starts(bench.take(21))).to.deep.equal([]);
    bench.listed(22, { born: 78 });
    bench.offer(1, 23, { server: "next", born: 78 });
    expect(starts(bench.take(23))).to.have.length(1);
  });

  it("stops what the next life under the same id may have started", () => {
    const bench = createBench();
    startOne(bench);
    bench.take(11);
    bench.listed(20, { born: 78 });
    expect(bench.news(20)).to.deep.equal([]);
    bench.core.announced({ ...ANNOUNCEMENT, born: 78 });
    bench.take(30);
    bench.listed(31, { born: 78, clockMs: 40 });
    const effects = bench.take(31);
    expect(stops(effects)).to.deep.equal([refOf(0)]);
    const [stop] = effects.flatMap((effect) =>
      effect.kind === "stop" ? [effect.order] : []
    );
    // The next life may have seen the token of the start: 5,001.
    expect(stop?.server.born).to.equal(78);
    expect(stop?.fencingToken).to.be.above(5001);
    bench.core.stopReplied(refOf(0), { isBarred: true }, 32);
    bench.listed(33, { born: 78, running: [row(0)] });
    expect(bench.news(33)).to.deep.equal([]);
    bench.listed(60, { born: 78 });
    expect(bench.news(60)).to.deep.equal([
      { kind: "ended", ref: refOf(0), end: "stopped", ms: 49 },
    ]);
  });

  it("waits for the lease of runs whose server has another life", () => {
    const bench = createBench();
    startOne(bench);
    bench.take(11);
    bench.listed(20, { born: 78 });
    bench.core.ownerSent(OWNER, frame(9, {}), 700);
    bench.core.tick(760);
    expect(bench.news(760)).to.deep.equal([]);
    bench.core.tick(800);
    expect(bench.news(800)).to.deep.equal([
      { kind: "lost", ref: refOf(0), reason: "lease ran out" },
    ]);
  });

  it("gives up the runs of a server that another one has replaced", () => {
    const bench = createBench();
    startOne(bench);
    bench.take(11);
    bench.replyToList(20, { kind: "otherLife" });
    expect(bench.news(20)).to.deep.equal([
      { kind: "lost", ref: refOf(0), reason: "otherLife" },
    ]);
  });

  it("gets above a token that it cannot know", () => {
    const bench = createBench();
    startOne(bench);
    bench.take(11);
    let tries = 0;
    for (let now = 20; now < 400; now += 60) {
      bench.replyToList(now, { kind: "fenced", clockMs: 5020 });
      bench.core.tick(now + 59);
      const [list] = lists(bench.take(now + 59));
      tries += 1;
      if (list?.kind === "list" && list.order.fencingToken > 1e8) break;
    }
    expect(tries).to.be.below(6);
  });

  it("pauses between lists to a server that breaks its connections", () => {
    const bench = createBench();
    startOne(bench);
    let sent = 0;
    for (let now = 12; now < 212; now += 1) {
      const isSent = lists(bench.take(now)).length > 0;
      if (isSent) sent += 1;
      if (isSent) bench.replyToList(now, { kind: "unanswered" });
      if (now % 25 === 0) bench.core.tick(now);
    }
    expect(sent).to.be.within(1, 5);
  });

  it("takes no offers after two lists without an answer, until one has one", () => {
    const bench = createBench();
    startOne(bench);
    expect(lists(bench.take(12))).to.have.length(1);
    bench.replyToList(100, { kind: "unanswered" });
    bench.offer(1, 101);
    expect(starts(bench.take(101))).to.have.length(1);
    bench.core.startReplied(refOf(1), { kind: "unanswered" }, 161);
    bench.replyToList(170, { kind: "unanswered" });
    bench.offer(2, 171);
    const effects = bench.take(171);
    expect(starts(effects)).to.deep.equal([]);
    expect(lists(effects)).to.have.length(1);
    bench.listed(180);
    bench.offer(3, 181);
    expect(starts(bench.take(181))).to.have.length(1);
  });

  it("goes on asking a server that gave no answers while it runs nothing", () => {
    const bench = createBench();
    startOne(bench);
    bench.take(12);
    bench.replyToList(80, { kind: "unanswered" });
    let answered = 0;
    for (let now = 100; now < 3000; now += 25) {
      bench.core.tick(now);
      if (lists(bench.take(now)).length === 0) continue;
      answered = now;
      bench.replyToList(now, { kind: "unanswered" });
    }
    expect(bench.core.runs()).to.equal(0);
    expect(answered).to.be.above(2700);
    bench.offer(1, 3000);
    expect(starts(bench.take(3000))).to.deep.equal([]);
  });

  it("tells an end again to an entry whose stream broke before it heard it", () => {
    const bench = createBench();
    startOne(bench);
    bench.take(20);
    const done = { number: 1, ref: refOf(0), end: "done" } as const;
    bench.listed(100, { ends: [done] });
    expect(bench.news(100)).to.have.length(1);
    bench.core.ownerClosed(OWNER, 101);
    bench.core.ownerOpened(OWNER + 1, 150);
    const claim = {
      ref: refOf(0),
      resources: { cpu: 1000, memoryMb: 10, gpu: 0 },
      estimateMs: 100,
    };
    bench.core.ownerSent(OWNER + 1, frame(1, { claims: [claim] }), 160);
    expect(bench.news(160)).to.deep.include.members([
      { kind: "ended", ref: refOf(0), end: "done", ms: 89 },
    ]);
  });

  it("tells entries at once that a server takes runs, or no longer does", () => {
    const core = createWorkerCore({
      side: "side",
      dataCentre: "a",
      timing: SAMPLE_TIMING,
    });
    core.ownerOpened(OWNER, 0);
    core.announced(ANNOUNCEMENT);
    core.takeEffects(0);
    answerLists(core, { from: 1, until: 3 });
    expect(reports(core.takeEffects(3)).at(-1)?.isOpen).to.equal(true);
    core.announced({ ...ANNOUNCEMENT, sequence: 2, isDraining: true });
    expect(reports(core.takeEffects(4)).at(-1)?.isOpen).to.equal(false);
  });

  it("says while an entry has not heard the newest report", () => {
    const bench = createBench();
    expect(bench.core.hasUnsentReport()).to.equal(false);
    bench.offer(0, 10);
    bench.take(10);
    expect(bench.core.hasUnsentReport()).to.equal(true);
    bench.take(200);
    expect(bench.core.hasUnsentReport()).to.equal(false);
  });
});

function reports(effects: readonly WorkerEffect[]) {
  return effects.flatMap((effect) =>
    effect.kind === "send" && effect.frame.server !== undefined
      ? [effect.frame.server]
      : []
  );
}

/** Answers each list in the millisecond after it was sent. */
function answerLists(
  core: WorkerCore,
  { from, until }: { readonly from: number; readonly until: number },
): void {
  for (let now = from; now < until; now += 1) {
    const number = now;
    const order = { number, server: ANNOUNCEMENT, fencingToken: 0 };
    const reply: ListReply = {
      kind: "listed",
      clockMs: 5000,
      born: 77,
      running: [],
      ends: [],
    };
    core.listReplied({ ...order, observed: 0, waitMs: 0 }, reply, now);
    if (now + 1 < until) core.takeEffects(now);
  }
}
