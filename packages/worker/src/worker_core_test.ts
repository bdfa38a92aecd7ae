import {
  type DispatchFrame,
  IDLE_TICK_MS,
  type Offer,
  type RunUpdate,
} from "@coltsfootreach/run";
import { SAMPLE_TIMING, sampleAnnouncement } from "@coltsfootreach/standin";
import { expect } from "chai";
import type { ListedRun, ListReply, ListRequest } from "./calls.ts";
import type { WorkerEffect } from "./effect.ts";
import { createWorkerCore, type WorkerCore } from "./worker_core.ts";

const OWNER = 1;

const FIRST_TOKEN = 5001;

const ANNOUNCEMENT = sampleAnnouncement();

interface Harness {
  readonly core: WorkerCore;
  /** Effects since the last call. */
  takeEffects(now: number): readonly WorkerEffect[];
  news(now: number): readonly RunUpdate[];
  offer(index: number, now: number, overrides?: Partial<Offer>): void;
  /** Replies to the list request in flight. */
  listed(
    now: number,
    reply?: Partial<Extract<ListReply, { kind: "listed" }>>,
  ): void;
  replyToList(now: number, reply: ListReply): void;
}

function refOf(index: number, run = 1) {
  return { task: { job: "job", occurrence: 0, step: 0, index }, run };
}

function createFrame(
  sequence: number,
  overrides: Partial<DispatchFrame>,
): DispatchFrame {
  return { kind: "dispatch", sequence, offers: [], stops: [], ...overrides };
}

/** Creates a core with an idle server that has joined, and one entry. */
function createHarness(): Harness {
  const core = createWorkerCore({
    side: "side",
    dataCentre: "a",
    timing: SAMPLE_TIMING,
    initialFencingToken: FIRST_TOKEN,
  });
  let listRequest: ListRequest | undefined;
  let sequence = 0;

  function takeEffects(now: number): readonly WorkerEffect[] {
    const effects = core.takeEffects(now);
    for (const effect of effects) {
      if (effect.kind === "list") listRequest = effect.request;
    }
    return effects;
  }

  function replyToList(now: number, reply: ListReply): void {
    core.listReplied(listRequest!, reply, now);
  }

  const harness: Harness = {
    core,
    takeEffects,
    news: (now) =>
      takeEffects(now).flatMap((effect) =>
        effect.kind === "send" ? effect.frame.news : []
      ),
    offer(index, now, overrides = {}) {
      sequence += 1;
      const ref = refOf(index);
      const offer: Offer = {
        ...ref,
        payload: "p",
        resources: { cpu: 1000, memoryMb: 10, gpu: 0 },
        estimateMs: 100,
        server: "server",
        born: 77,
        ...overrides,
      };
      core.ownerSent(OWNER, createFrame(sequence, { offers: [offer] }), now);
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
  takeEffects(0);
  harness.listed(1);
  takeEffects(1);
  harness.listed(2);
  core.ownerOpened(OWNER, 2);
  takeEffects(2);
  return harness;
}

function startRequests(effects: readonly WorkerEffect[]) {
  return effects.flatMap((effect) =>
    effect.kind === "start" ? [effect.request] : []
  );
}

function stoppedRuns(effects: readonly WorkerEffect[]) {
  return effects.flatMap((effect) =>
    effect.kind === "stop" ? [effect.request.ref] : []
  );
}

function listRequests(effects: readonly WorkerEffect[]) {
  return effects.filter((effect) => effect.kind === "list");
}

/** Starts one run, after which the side polls for its end. */
function startOneRun(harness: Harness): void {
  harness.offer(0, 10);
  harness.takeEffects(10);
  harness.core.startReplied(refOf(0), { kind: "started" }, 11);
}

function listedRun(index: number, run = 1): ListedRun {
  return { ref: refOf(index, run), percent: 1 };
}

describe("worker core", () => {
  it("starts offered runs while capacity is free and refuses the rest", () => {
    const harness = createHarness();
    for (let index = 0; index < 5; index += 1) harness.offer(index, 10);
    const effects = harness.takeEffects(10);
    expect(startRequests(effects)).to.have.length(4);
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

  it("counts a run as used capacity until its end after a stop is listed", () => {
    const harness = createHarness();
    harness.offer(0, 10, { resources: { cpu: 4000, memoryMb: 1, gpu: 0 } });
    harness.takeEffects(10);
    harness.core.startReplied(refOf(0), { kind: "started" }, 11);
    harness.takeEffects(11);
    harness.core.ownerSent(OWNER, createFrame(2, { stops: [refOf(0)] }), 12);
    expect(stoppedRuns(harness.takeEffects(12))).to.deep.equal([refOf(0)]);
    harness.core.stopReplied(refOf(0), { isConfirmed: true }, 13);
    harness.offer(1, 14);
    expect(startRequests(harness.takeEffects(14))).to.deep.equal([]);
    const end = { number: 1, ref: refOf(0), end: "stopped" as const };
    harness.listed(15, { ends: [end] });
    harness.offer(2, 16);
    expect(startRequests(harness.takeEffects(16))).to.have.length(1);
  });

  it("confirms the stop of an unanswered start before reporting its end", () => {
    const harness = createHarness();
    harness.offer(0, 10);
    harness.takeEffects(10);
    harness.core.startReplied(refOf(0), { kind: "unanswered" }, 70);
    const effects = harness.takeEffects(70);
    expect(stoppedRuns(effects)).to.deep.equal([refOf(0)]);
    harness.core.tick(75);
    harness.core.stopReplied(refOf(0), { isConfirmed: false }, 130);
    expect(harness.news(130)).to.deep.equal([]);
    harness.core.tick(240);
    expect(stoppedRuns(harness.takeEffects(240))).to.deep.equal([refOf(0)]);
    harness.core.stopReplied(refOf(0), { isConfirmed: true }, 241);
    expect(harness.news(241)).to.deep.equal([]);
    // This list request was sent before the stop was confirmed: no evidence.
    harness.listed(242);
    expect(harness.news(242)).to.deep.equal([]);
    harness.listed(243);
    const [news] = harness.news(243);
    expect(news).to.include({ kind: "ended", end: "stopped" });
  });

  it("refuses a run number that it already knows for the task", () => {
    const harness = createHarness();
    harness.offer(0, 10);
    harness.takeEffects(10);
    harness.core.startReplied(refOf(0), { kind: "started" }, 11);
    harness.takeEffects(11);
    harness.listed(20, { ends: [{ number: 1, ref: refOf(0), end: "done" }] });
    harness.takeEffects(20);
    harness.offer(0, 30);
    expect(harness.news(30)).to.deep.equal([{
      kind: "refused",
      ref: refOf(0),
      reason: "superseded",
      highestRun: 1,
    }]);
  });

  it("stops the runs of an entry that has been silent for 650 ms", () => {
    const harness = createHarness();
    harness.offer(0, 10);
    harness.takeEffects(10);
    harness.core.startReplied(refOf(0), { kind: "started" }, 11);
    const stopped: unknown[] = [];
    for (let now = 25; now <= 700; now += 25) {
      harness.core.tick(now);
      stopped.push(...stoppedRuns(harness.takeEffects(now)));
      harness.listed(now, { running: [listedRun(0)] });
      if (now < 660) expect(stopped).to.deep.equal([]);
    }
    expect(stopped[0]).to.deep.equal(refOf(0));
  });

  it("keeps the runs of an entry that reconnects and claims them in time", () => {
    const harness = createHarness();
    harness.offer(0, 10);
    harness.takeEffects(10);
    harness.core.startReplied(refOf(0), { kind: "started" }, 11);
    harness.core.ownerClosed(OWNER, 20);
    harness.core.ownerOpened(2, 100);
    const claim = {
      ref: refOf(0),
      resources: { cpu: 1000, memoryMb: 10, gpu: 0 },
      estimateMs: 100,
    };
    harness.core.ownerSent(2, createFrame(1, { claims: [claim] }), 110);
    harness.core.tick(400);
    expect(stoppedRuns(harness.takeEffects(400))).to.deep.equal([]);
    harness.core.tick(425);
    expect(stoppedRuns(harness.takeEffects(425))).to.deep.equal([]);
  });

  it("assumes a fresh lease for runs that it discovers after a restart", () => {
    const harness = createHarness();
    harness.core.left("server");
    harness.core.announced({ ...ANNOUNCEMENT, id: "next" });
    harness.takeEffects(4);
    harness.listed(5, { running: [listedRun(0)] });
    harness.takeEffects(5);
    harness.listed(6, { running: [listedRun(0)] });
    harness.core.tick(30);
    const lost = harness.news(30).filter((news) => news.kind === "lost");
    expect(lost).to.deep.equal([]);
    expect(harness.core.runs()).to.equal(1);
  });

  it("stops discovered runs that no entry claims", () => {
    const harness = createHarness();
    harness.offer(0, 10);
    harness.takeEffects(10);
    harness.core.startReplied(refOf(0), { kind: "started" }, 11);
    harness.takeEffects(11);
    harness.listed(12, { running: [listedRun(0), listedRun(9)] });
    harness.takeEffects(12);
    for (let now = 25; now <= 225; now += 25) {
      harness.core.tick(now);
      harness.core.ownerSent(OWNER, createFrame(now, {}), now);
    }
    expect(stoppedRuns(harness.takeEffects(226))).to.deep.equal([refOf(9)]);
  });

  it("stops a run if the stream of its pending claim closes", () => {
    const core = createWorkerCore({
      side: "side",
      dataCentre: "a",
      timing: SAMPLE_TIMING,
      initialFencingToken: FIRST_TOKEN,
    });
    const requests: ListRequest[] = [];
    const takeEffects = (now: number) => {
      const effects = core.takeEffects(now);
      for (const effect of effects) {
        if (effect.kind === "list") requests.push(effect.request);
      }
      return effects;
    };
    const claim = {
      ref: refOf(0),
      resources: { cpu: 1000, memoryMb: 10, gpu: 0 },
      estimateMs: 100,
    };
    core.ownerOpened(OWNER, 0);
    core.ownerSent(OWNER, createFrame(1, { claims: [claim] }), 1);
    core.ownerClosed(OWNER, 2);
    core.announced(ANNOUNCEMENT);
    takeEffects(3);
    const listed = {
      kind: "listed",
      clockMs: 905,
      born: 77,
      running: [listedRun(0)],
      ends: [],
    } as const;
    core.listReplied(requests.at(-1)!, listed, 4);
    takeEffects(4);
    core.listReplied(requests.at(-1)!, listed, 5);
    takeEffects(5);
    core.tick(300);
    expect(stoppedRuns(takeEffects(300))).to.deep.equal([refOf(0)]);
  });

  it("grants and renews leases of at most 700 ms", () => {
    const harness = createHarness();
    harness.offer(0, 10);
    const [startRequest] = startRequests(harness.takeEffects(10));
    // At 2 ms the server's clock showed 5,002; it may have lost 2% since.
    expect(startRequest?.untilMs).to.equal(5709);
    harness.core.startReplied(refOf(0), { kind: "started" }, 11);
    const [list] = listRequests(harness.takeEffects(12));
    expect(list?.kind === "list" && list.request.untilMs).to.equal(5710);
  });

  it("takes a renewal in flight into account before a lease expires", () => {
    const harness = createHarness();
    harness.offer(0, 10);
    harness.takeEffects(10);
    harness.core.startReplied(refOf(0), { kind: "started" }, 11);
    harness.takeEffects(11);
    harness.listed(100, { running: [listedRun(0)] });
    harness.takeEffects(100);
    // The process froze; the list request sent at 100 may have renewed until 800.
    harness.core.tick(850);
    harness.core.ownerSent(OWNER, createFrame(9, {}), 850);
    expect(harness.news(850)).to.deep.equal([]);
    harness.core.tick(886);
    expect(harness.news(886)).to.deep.equal([{
      kind: "lost",
      ref: refOf(0),
      reason: "lease ran out",
    }]);
  });

  it("starts no runs on a draining server or for another instance", () => {
    const harness = createHarness();
    const draining = { ...ANNOUNCEMENT, isDraining: true, sequence: 2 };
    harness.core.announced(draining);
    harness.offer(0, 11);
    expect(harness.news(11)).to.deep.include({
      kind: "refused",
      ref: refOf(0),
      reason: "closed",
      highestRun: 0,
    });
    const back = { ...ANNOUNCEMENT, sequence: 3 };
    harness.core.announced(back);
    harness.offer(1, 21, { born: 78 });
    const [news] = harness.news(21);
    expect(news).to.include({ kind: "refused", reason: "otherServer" });
  });

  it("ignores an announcement older than the last one", () => {
    const harness = createHarness();
    harness.core.announced({ ...ANNOUNCEMENT, isDraining: true, sequence: 5 });
    harness.core.announced({ ...ANNOUNCEMENT, sequence: 4 });
    harness.offer(0, 12);
    const [news] = harness.news(12);
    expect(news).to.include({ kind: "refused", reason: "closed" });
  });

  // Another program that knew the instance announced it with other properties.
  it("keeps what describes an instance from its first announcement", () => {
    const harness = createHarness();
    harness.core.announced({
      ...ANNOUNCEMENT,
      service: "other",
      capacity: { cpu: 0, memoryMb: 0, gpu: 0 },
      labels: [],
      sequence: 2,
    });
    harness.offer(0, 12);
    expect(startRequests(harness.takeEffects(12))).to.have.length(1);
    expect(sentReports(harness.takeEffects(500)).at(-1)).to.deep.include({
      service: "pool",
      capacity: ANNOUNCEMENT.capacity,
      labels: ["a"],
    });
  });

  it("reports a run that makes no progress", () => {
    const harness = createHarness();
    harness.offer(0, 10);
    harness.takeEffects(10);
    harness.core.startReplied(refOf(0), { kind: "started" }, 11);
    harness.takeEffects(11);
    const stalled: RunUpdate[] = [];
    for (let now = 50; now <= 400; now += 50) {
      harness.listed(now, { running: [listedRun(0)] });
      stalled.push(...harness.news(now));
      if (now < 300) expect(stalled).to.deep.equal([]);
    }
    expect(stalled).to.deep.equal([{ kind: "stalled", ref: refOf(0) }]);
  });

  it("starts one trial run at a time after consecutive failures", () => {
    const harness = createHarness();
    for (const index of [0, 1]) {
      harness.offer(index, 10);
      harness.takeEffects(10);
      const started = { kind: "started" } as const;
      harness.core.startReplied(refOf(index), started, 11);
      harness.takeEffects(11);
      const end = {
        number: index + 1,
        ref: refOf(index),
        end: "failed" as const,
      };
      harness.listed(20, { ends: [end] });
      harness.takeEffects(20);
    }
    harness.offer(2, 30);
    const [news] = harness.news(30);
    expect(news).to.include({ kind: "refused", reason: "suspect" });
    harness.offer(3, 600);
    harness.offer(4, 600);
    expect(startRequests(harness.takeEffects(600))).to.have.length(1);
  });

  it("refuses offers that it reads right after the process was paused", () => {
    const harness = createHarness();
    harness.core.pauseDetected(10);
    harness.offer(0, 10);
    expect(harness.news(10)).to.deep.include({
      kind: "refused",
      ref: refOf(0),
      reason: "closed",
      highestRun: 0,
    });
    harness.offer(1, 70);
    expect(startRequests(harness.takeEffects(70))).to.have.length(1);
  });

  // An entry that was paused, or cut off, places jobs whose callers have resubmitted
  // them; what it sent before arrives together with what it sends now.
  it("refuses offers that arrive after an entry's long silence", () => {
    const harness = createHarness();
    const resumedAt = 10 + SAMPLE_TIMING.resubmitAfterMs;
    harness.core.ownerSent(OWNER, createFrame(1, {}), 10);
    harness.offer(0, resumedAt + 1);
    harness.offer(1, resumedAt + 2);
    expect(startRequests(harness.takeEffects(resumedAt + 2))).to.deep.equal([]);
    harness.offer(2, resumedAt + 100);
    const effects = harness.takeEffects(resumedAt + 100);
    expect(startRequests(effects)).to.have.length(1);
  });

  it("accepts offers after the usual silence of an idle stream", () => {
    const harness = createHarness();
    harness.core.ownerSent(OWNER, createFrame(1, {}), 10);
    const now = 10 + SAMPLE_TIMING.idleHeartbeatMs + IDLE_TICK_MS;
    harness.offer(0, now);
    expect(startRequests(harness.takeEffects(now))).to.have.length(1);
  });

  it("sends no start request if the entry's stream closes in the same turn", () => {
    const harness = createHarness();
    harness.offer(0, 10);
    harness.core.ownerClosed(OWNER, 10);
    const effects = harness.takeEffects(10);
    expect(startRequests(effects)).to.deep.equal([]);
    expect(harness.core.runs()).to.equal(0);
    const messages = effects.flatMap((effect) =>
      effect.kind === "log" ? effect.decision.message : []
    );
    expect(messages).to.include("run lost");
  });

  it("refuses offers until the server has listed its runs", () => {
    const harness = createHarness();
    harness.replyToList(10, { kind: "otherLife" });
    harness.core.announced({ ...ANNOUNCEMENT, id: "next", born: 78 });
    harness.takeEffects(20);
    harness.listed(21, { born: 78 });
    harness.offer(0, 21, { server: "next", born: 78 });
    expect(startRequests(harness.takeEffects(21))).to.deep.equal([]);
    harness.listed(22, { born: 78 });
    harness.offer(1, 23, { server: "next", born: 78 });
    expect(startRequests(harness.takeEffects(23))).to.have.length(1);
  });

  it("stops runs that a new instance with the same id may have started", () => {
    const harness = createHarness();
    startOneRun(harness);
    harness.takeEffects(11);
    harness.listed(20, { born: 78 });
    expect(harness.news(20)).to.deep.equal([]);
    harness.core.announced({ ...ANNOUNCEMENT, born: 78 });
    harness.takeEffects(30);
    harness.listed(31, { born: 78, clockMs: 40 });
    const effects = harness.takeEffects(31);
    expect(stoppedRuns(effects)).to.deep.equal([refOf(0)]);
    const [stopRequest] = effects.flatMap((effect) =>
      effect.kind === "stop" ? [effect.request] : []
    );
    // The new instance may have seen the token of the start request: 5,001.
    expect(stopRequest?.server.born).to.equal(78);
    expect(stopRequest?.fencingToken).to.be.above(5001);
    harness.core.stopReplied(refOf(0), { isConfirmed: true }, 32);
    harness.listed(33, { born: 78, running: [listedRun(0)] });
    expect(harness.news(33)).to.deep.equal([]);
    harness.listed(60, { born: 78 });
    expect(harness.news(60)).to.deep.equal([
      { kind: "ended", ref: refOf(0), end: "stopped", ms: 49 },
    ]);
  });

  it("reports runs of a restarted server as lost only after their lease", () => {
    const harness = createHarness();
    startOneRun(harness);
    harness.takeEffects(11);
    harness.listed(20, { born: 78 });
    harness.core.ownerSent(OWNER, createFrame(9, {}), 700);
    harness.core.tick(760);
    expect(harness.news(760)).to.deep.equal([]);
    harness.core.tick(800);
    expect(harness.news(800)).to.deep.equal([
      { kind: "lost", ref: refOf(0), reason: "lease ran out" },
    ]);
  });

  it("reports the runs of a server that was replaced as lost", () => {
    const harness = createHarness();
    startOneRun(harness);
    harness.takeEffects(11);
    harness.replyToList(20, { kind: "otherLife" });
    expect(harness.news(20)).to.deep.equal([
      { kind: "lost", ref: refOf(0), reason: "otherLife" },
    ]);
  });

  it("raises its token above an unknown higher one in a few attempts", () => {
    const harness = createHarness();
    startOneRun(harness);
    harness.takeEffects(11);
    let attempts = 0;
    for (let now = 20; now < 400; now += 60) {
      harness.replyToList(now, { kind: "fenced" });
      harness.core.tick(now + 59);
      const [list] = listRequests(harness.takeEffects(now + 59));
      attempts += 1;
      if (list?.kind === "list" && list.request.fencingToken > 1e8) break;
    }
    expect(attempts).to.be.below(6);
  });

  it("limits the rate of list requests to a server that resets connections", () => {
    const harness = createHarness();
    startOneRun(harness);
    let sentCount = 0;
    for (let now = 12; now < 212; now += 1) {
      const isSent = listRequests(harness.takeEffects(now)).length > 0;
      if (isSent) sentCount += 1;
      if (isSent) harness.replyToList(now, { kind: "unanswered" });
      if (now % 25 === 0) harness.core.tick(now);
    }
    expect(sentCount).to.be.within(1, 5);
  });

  it("refuses offers after two lost list replies until the server replies", () => {
    const harness = createHarness();
    startOneRun(harness);
    expect(listRequests(harness.takeEffects(12))).to.have.length(1);
    harness.replyToList(100, { kind: "unanswered" });
    harness.offer(1, 101);
    expect(startRequests(harness.takeEffects(101))).to.have.length(1);
    harness.core.startReplied(refOf(1), { kind: "unanswered" }, 161);
    harness.replyToList(170, { kind: "unanswered" });
    harness.offer(2, 171);
    const effects = harness.takeEffects(171);
    expect(startRequests(effects)).to.deep.equal([]);
    expect(listRequests(effects)).to.have.length(1);
    harness.listed(180);
    harness.offer(3, 181);
    expect(startRequests(harness.takeEffects(181))).to.have.length(1);
  });

  it("keeps polling a server that is down even without runs", () => {
    const harness = createHarness();
    startOneRun(harness);
    harness.takeEffects(12);
    harness.replyToList(80, { kind: "unanswered" });
    let lastSentAt = 0;
    for (let now = 100; now < 3000; now += 25) {
      harness.core.tick(now);
      if (listRequests(harness.takeEffects(now)).length === 0) continue;
      lastSentAt = now;
      harness.replyToList(now, { kind: "unanswered" });
    }
    expect(harness.core.runs()).to.equal(0);
    expect(lastSentAt).to.be.above(2700);
    harness.offer(1, 3000);
    expect(startRequests(harness.takeEffects(3000))).to.deep.equal([]);
  });

  it("repeats an outcome to an entry whose stream broke before it arrived", () => {
    const harness = createHarness();
    startOneRun(harness);
    harness.takeEffects(20);
    const done = { number: 1, ref: refOf(0), end: "done" } as const;
    harness.listed(100, { ends: [done] });
    expect(harness.news(100)).to.have.length(1);
    harness.core.ownerClosed(OWNER, 101);
    harness.core.ownerOpened(OWNER + 1, 150);
    const claim = {
      ref: refOf(0),
      resources: { cpu: 1000, memoryMb: 10, gpu: 0 },
      estimateMs: 100,
    };
    harness.core.ownerSent(OWNER + 1, createFrame(1, { claims: [claim] }), 160);
    expect(harness.news(160)).to.deep.include.members([
      { kind: "ended", ref: refOf(0), end: "done", ms: 89 },
    ]);
  });

  it("reports at once whether a server accepts runs", () => {
    const core = createWorkerCore({
      side: "side",
      dataCentre: "a",
      timing: SAMPLE_TIMING,
      initialFencingToken: FIRST_TOKEN,
    });
    core.ownerOpened(OWNER, 0);
    core.announced(ANNOUNCEMENT);
    core.takeEffects(0);
    answerListRequests(core, { from: 1, until: 3 });
    expect(sentReports(core.takeEffects(3)).at(-1)?.isOpen).to.equal(true);
    core.announced({ ...ANNOUNCEMENT, sequence: 2, isDraining: true });
    expect(sentReports(core.takeEffects(4)).at(-1)?.isOpen).to.equal(false);
  });

  it("tells whether an entry has not been sent the latest report", () => {
    const harness = createHarness();
    expect(harness.core.hasUnsentReport()).to.equal(false);
    harness.offer(0, 10);
    harness.takeEffects(10);
    expect(harness.core.hasUnsentReport()).to.equal(true);
    harness.takeEffects(200);
    expect(harness.core.hasUnsentReport()).to.equal(false);
  });
});

function sentReports(effects: readonly WorkerEffect[]) {
  return effects.flatMap((effect) =>
    effect.kind === "send" && effect.frame.server !== undefined
      ? [effect.frame.server]
      : []
  );
}

/** Replies to each list request in the millisecond after it was sent. */
function answerListRequests(
  core: WorkerCore,
  { from, until }: { readonly from: number; readonly until: number },
): void {
  for (let now = from; now < until; now += 1) {
    const number = now;
    const request = { number, server: ANNOUNCEMENT, fencingToken: 0 };
    const reply: ListReply = {
      kind: "listed",
      clockMs: 5000,
      born: 77,
      running: [],
      ends: [],
    };
    core.listReplied({ ...request, observed: 0, waitMs: 0 }, reply, now);
    if (now + 1 < until) core.takeEffects(now);
  }
}
