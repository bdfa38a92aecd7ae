import {
  type DispatchFrame,
  type Job,
  NO_RESOURCES,
  type RunUpdate,
  type ServerReport,
  type Step,
  type WorkFrame,
} from "@coltsfootreach/run";
import {
  SAMPLE_REMOTE_FACTOR,
  SAMPLE_TIMING,
  sampleQueue,
  sampleReport,
  sampleStep,
} from "@coltsfootreach/standin";
import { expect } from "chai";
import type { Answer } from "./answer.ts";
import { createDispatcher, type Dispatcher } from "./dispatcher.ts";

/** Past the time in which servers are still to be found. */
const START = 10_000;

function job(id: string, steps: readonly Step[] = [sampleStep()]): Job {
  return { id, payload: "p", steps, timeoutMs: 2000 };
}

function report(id: string, cpu: number): ServerReport {
  const resources = { cpu, memoryMb: 1000, gpu: 0 };
  return sampleReport({ id, capacity: resources, room: resources });
}

interface Bench {
  readonly dispatcher: Dispatcher;
  readonly answers: Map<number, Answer>;
  /** Frames to a session since the last call. */
  frames(session: number, now: number): readonly DispatchFrame[];
  submit(id: number, job: Job, now: number, ageMs?: number): void;
  join(session: number, side: string, server: ServerReport, now: number): void;
  hear(session: number, frame: Partial<WorkFrame>, now: number): void;
}

function createBench(): Bench {
  const dispatcher = createDispatcher({
    entry: "entry",
    timing: SAMPLE_TIMING,
    remoteFactor: SAMPLE_REMOTE_FACTOR,
    random: () => 0,
  });
  const answers = new Map<number, Answer>();
  const sent = new Map<number, DispatchFrame[]>();

  function run(now: number): void {
    for (const effect of dispatcher.takeEffects(now)) {
      if (effect.kind === "answer") {
        answers.set(effect.submission, effect.answer);
      } else if (effect.kind === "send") {
        const frames = sent.get(effect.session) ?? [];
        sent.set(effect.session, [...frames, effect.frame]);
      }
    }
  }

  function hear(session: number, more: Partial<WorkFrame>, now: number): void {
    const frame: WorkFrame = { kind: "work", seen: 99, news: [], ...more };
    dispatcher.sessionSent(session, frame, now);
    run(now);
  }

  dispatcher.tick(0);
  return {
    dispatcher,
    answers,
    frames(session, now) {
      run(now);
      const frames = sent.get(session) ?? [];
      sent.delete(session);
      return frames;
    },
    submit(id, one, now, ageMs = 0) {
      const queue = sampleQueue();
      const submission = {
        id,
        job: one,
        queue,
        configurationVersion: 1,
        ageMs,
      };
      dispatcher.submit(submission, now);
      run(now);
    },
    join(session, side, server, now) {
      dispatcher.sessionOpened(session, now);
      hear(session, { side, dataCentre: "a", server }, now);
    },
    hear,
  };
}

function offers(frames: readonly DispatchFrame[]) {
  return frames.flatMap((frame) => frame.offers);
}

function stops(frames: readonly DispatchFrame[]) {
  return frames.flatMap((frame) => frame.stops);
}

function ended(
  id: string,
  end: "done" | "failed" | "stopped",
  { run = 1, step = 0, index = 0 } = {},
): RunUpdate {
  const task = { job: id, occurrence: 0, step, index };
  return { kind: "ended", ref: { task, run }, end, ms: 100 };
}

describe("an entry's decisions", () => {
  it("answers completed once all tasks are done", () => {
    const bench = createBench();
    bench.join(1, "one", report("s1", 4000), START);
    bench.submit(1, job("j", [sampleStep({ count: 2 })]), START);
    expect(offers(bench.frames(1, START))).to.have.length(2);
    bench.hear(1, { news: [ended("j", "done")] }, START + 50);
    expect(bench.answers.size).to.equal(0);
    bench.hear(1, { news: [ended("j", "done", { index: 1 })] }, START + 60);
    expect(bench.answers.get(1)).to.deep.equal({ kind: "completed" });
  });

  it("offers a step once the steps before it are done", () => {
    const bench = createBench();
    bench.join(1, "one", report("s1", 4000), START);
    bench.submit(
      1,
      job("j", [sampleStep(), sampleStep({ after: [0] })]),
      START,
    );
    const first = offers(bench.frames(1, START));
    expect(first.map((offer) => offer.task.step)).to.deep.equal([0]);
    bench.hear(1, { news: [ended("j", "done")] }, START + 50);
    const second = offers(bench.frames(1, START + 50));
    expect(second.map((offer) => offer.task.step)).to.deep.equal([1]);
  });

  it("repeats a failed run on another server and gives up after the attempts", () => {
    const bench = createBench();
    bench.join(1, "one", report("s1", 4000), START);
    bench.join(2, "two", report("s2", 4000), START);
    bench.submit(1, job("j"), START);
    const [first, second] = offers(bench.frames(1, START)).length === 1
      ? [1, 2]
      : [2, 1];
    bench.frames(second, START);
    bench.hear(first, { news: [ended("j", "failed")] }, START + 50);
    const [again] = offers(bench.frames(second, START + 50));
    expect(again?.run).to.equal(2);
    expect(bench.answers.size).to.equal(0);
    bench.hear(
      second,
      { news: [ended("j", "failed", { run: 2 })] },
      START + 90,
    );
    expect(bench.answers.get(1)).to.deep.equal({
      kind: "failed",
      reason: "attemptsUsed",
    });
  });

  it("repeats a failed run on the same server where there is no other", () => {
    const bench = createBench();
    bench.join(1, "one", report("s1", 4000), START);
    bench.submit(1, job("j"), START);
    bench.frames(1, START);
    bench.hear(1, { news: [ended("j", "failed")] }, START + 50);
    const [again] = offers(bench.frames(1, START + 50));
    expect(again?.run).to.equal(2);
  });

  it("uses a suspect server where there is no other", () => {
    const bench = createBench();
    const suspect = { ...report("s1", 4000), isSuspect: true };
    bench.join(1, "one", suspect, START);
    bench.submit(1, job("j"), START);
    bench.frames(1, START);
    bench.hear(1, { news: [ended("j", "failed")] }, START + 50);
    const [again] = offers(bench.frames(1, START + 50));
    expect(again?.run).to.equal(2);
  });

  it("refuses at once what is foretold to be too late to be of use, and only that", () => {
    const bench = createBench();
    bench.join(1, "one", report("s1", 1000), START);
    // Objective 220 ms, of use until 660 ms; each job takes the core for 100 ms.
    for (let id = 1; id <= 5; id += 1) bench.submit(id, job(`j${id}`), START);
    expect([...bench.answers.keys()]).to.deep.equal([5]);
    expect(bench.answers.get(5)).to.include({
      kind: "refused",
      reason: "overload",
    });
  });

  it("gives room that nobody else needs to a job that will be late", () => {
    const bench = createBench();
    bench.join(1, "one", report("s1", 1000), START);
    for (const id of [1, 2, 3]) bench.submit(id, job(`j${id}`), START);
    for (const id of [1, 2, 3]) {
      const now = START + id * 120;
      bench.dispatcher.tick(now);
      const offered = offers(bench.frames(1, now)).map(({ task }) => task.job);
      expect(offered).to.deep.equal([`j${id}`]);
      const server = report("s1", 1000);
      bench.hear(1, { server, news: [ended(`j${id}`, "done")] }, now + 1);
      expect(bench.answers.get(id)).to.deep.equal({ kind: "completed" });
    }
  });

  it("holds what comes while its servers are being found, and answers late", () => {
    const bench = createBench();
    for (const id of [1, 2]) bench.submit(id, job(`j${id}`), 100);
    bench.dispatcher.tick(450);
    bench.join(1, "one", report("s1", 1000), 450);
    bench.dispatcher.tick(470);
    expect(offers(bench.frames(1, 470))).to.have.length(1);
    expect(bench.answers.size).to.equal(0);
  });

  it("never says that a job has not run once an offer was sent", () => {
    const bench = createBench();
    bench.join(1, "one", report("s1", 1000), START);
    bench.submit(1, job("j"), START);
    for (let now = START; now < START + 3000; now += 100) {
      bench.hear(1, {}, now);
      bench.dispatcher.tick(now);
    }
    bench.frames(1, START + 3000);
    expect(bench.answers.get(1)).to.deep.equal({ kind: "timedOut" });
  });

  it("gives a job all of its caller's time", () => {
    const bench = createBench();
    const patient = { ...job("j"), timeoutMs: 60_000 };
    bench.join(1, "one", report("s1", 1000), START);
    bench.submit(1, patient, START);
    for (let now = START; now < START + 59_900; now += 100) {
      bench.hear(1, {}, now);
      bench.dispatcher.tick(now);
    }
    bench.frames(1, START + 59_900);
    expect(bench.answers.size).to.equal(0);
    bench.dispatcher.tick(START + 60_000);
    bench.frames(1, START + 60_000);
    expect(bench.answers.get(1)).to.deep.equal({ kind: "timedOut" });
  });

  it("stops the runs of a caller that has left", () => {
    const bench = createBench();
    bench.join(1, "one", report("s1", 4000), START);
    bench.submit(1, job("j"), START);
    bench.frames(1, START);
    bench.dispatcher.abandon(1, START + 10);
    expect(stops(bench.frames(1, START + 10))).to.have.length(1);
    expect(bench.dispatcher.liveJobs()).to.equal(1);
    bench.hear(1, { news: [ended("j", "stopped")] }, START + 60);
    expect(bench.dispatcher.liveJobs()).to.equal(0);
  });

  it("starts a job that was handed in again only after its earlier runs", () => {
    const bench = createBench();
    bench.join(1, "one", report("s1", 4000), START);
    bench.submit(1, job("j"), START);
    bench.frames(1, START);
    bench.submit(2, job("j"), START + 20);
    const between = bench.frames(1, START + 20);
    expect(offers(between)).to.deep.equal([]);
    expect(stops(between)).to.have.length(1);
    bench.hear(1, { news: [ended("j", "stopped")] }, START + 70);
    expect(offers(bench.frames(1, START + 70))).to.have.length(1);
  });

  it("goes above the run that a server has seen", () => {
    const bench = createBench();
    bench.join(1, "one", report("s1", 4000), START);
    bench.submit(1, job("j"), START);
    bench.frames(1, START);
    const task = { job: "j", occurrence: 0, step: 0, index: 0 };
    const news: RunUpdate = {
      kind: "refused",
      ref: { task, run: 1 },
      reason: "superseded",
      highestRun: 4,
    };
    bench.hear(1, { news: [news], server: report("s1", 4000) }, START + 5);
    const [again] = offers(bench.frames(1, START + 5));
    expect(again?.run).to.equal(5);
  });

  it("does not repeat a run while its side may still hold it", () => {
    const bench = createBench();
    bench.join(1, "one", report("s1", 4000), START);
    bench.submit(1, job("j"), START);
    bench.frames(1, START);
    bench.join(2, "two", report("s2", 4000), START + 1);
    bench.dispatcher.sessionClosed(1, START + 10);
    for (let now = START + 20; now < START + 1490; now += 100) {
      bench.hear(2, {}, now);
      bench.dispatcher.tick(now);
      expect(offers(bench.frames(2, now)), `at ${now}`).to.deep.equal([]);
    }
    bench.dispatcher.tick(START + 1520);
    expect(offers(bench.frames(2, START + 1520))).to.have.length(1);
  });

  it("claims its runs when a side opens its stream again", () => {
    const bench = createBench();
    bench.join(1, "one", report("s1", 4000), START);
    bench.submit(1, job("j"), START);
    bench.frames(1, START);
    bench.dispatcher.sessionClosed(1, START + 10);
    bench.join(2, "one", report("s1", 4000), START + 100);
    const claims = bench.frames(2, START + 100)
      .flatMap((frame) => frame.claims ?? []);
    expect(claims.map((claim) => claim.ref.run)).to.deep.equal([1]);
    bench.hear(2, { news: [ended("j", "done")] }, START + 150);
    expect(bench.answers.get(1)).to.deep.equal({ kind: "completed" });
  });

  it("moves a run that makes no progress once it is stopped", () => {
    const bench = createBench();
    bench.join(1, "one", report("s1", 4000), START);
    bench.submit(1, job("j"), START);
    bench.frames(1, START);
    bench.join(2, "two", report("s2", 4000), START + 1);
    const task = { job: "j", occurrence: 0, step: 0, index: 0 };
    const stalled: RunUpdate = { kind: "stalled", ref: { task, run: 1 } };
    bench.hear(1, { news: [stalled] }, START + 300);
    expect(stops(bench.frames(1, START + 300))).to.have.length(1);
    expect(offers(bench.frames(2, START + 300))).to.deep.equal([]);
    bench.hear(1, { news: [ended("j", "stopped")] }, START + 340);
    expect(offers(bench.frames(2, START + 340))).to.have.length(1);
  });

  it("holds jobs while it has just started and knows no server", () => {
    const bench = createBench();
    bench.submit(1, job("j"), 100);
    expect(bench.answers.size).to.equal(0);
    bench.join(1, "one", report("s1", 4000), 400);
    expect(offers(bench.frames(1, 400))).to.have.length(1);
  });

  it("refuses at once when no server is known later on", () => {
    const bench = createBench();
    bench.submit(1, job("j"), START);
    expect(bench.answers.get(1)).to.include({
      kind: "refused",
      reason: "unavailable",
    });
  });

  it("refuses kinds of jobs that it cannot carry out", () => {
    const bench = createBench();
    bench.join(1, "one", report("s1", 4000), START);
    bench.submit(1, job("j", [sampleStep({ isGang: true })]), START);
    expect(offers(bench.frames(1, START))).to.deep.equal([]);
    expect(bench.answers.get(1)).to.include({
      kind: "refused",
      reason: "unsupported",
    });
  });

  it("refuses what cannot end before it stops", () => {
    const bench = createBench();
    bench.join(1, "one", report("s1", 4000), START);
    bench.dispatcher.stopBy(START + 150);
    bench.submit(1, job("j"), START);
    expect(bench.answers.get(1)).to.include({
      kind: "refused",
      reason: "stopping",
    });
  });

  it("refuses at once a caller that comes back too late to be helped", () => {
    const bench = createBench();
    bench.join(1, "side", report("server", 1000), 0);
    const now = 100;
    bench.submit(1, job("a"), now, 1500);
    expect(bench.answers.get(1)).to.include({
      kind: "refused",
      reason: "overload",
    });
  });

  it("starts callers that can be in time before those that came back", () => {
    const bench = createBench();
    const server = report("server", 1000);
    bench.join(1, "side", { ...server, room: NO_RESOURCES }, START);
    bench.submit(1, job("back"), START, 250);
    bench.submit(2, job("new"), START, 0);
    bench.hear(1, { server }, START + 10);
    const offered = bench.frames(1, START + 10).flatMap((frame) =>
      frame.offers.map((offer) => offer.task.job)
    );
    expect(offered).to.deep.equal(["new"]);
  });
});
