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
import {
  createDispatcher,
  type Dispatcher,
  type Submission,
} from "./dispatcher.ts";

/** After the server discovery phase at startup. */
const START_MS = 10_000;

function job(id: string, steps: readonly Step[] = [sampleStep()]): Job {
  return { id, payload: "p", steps, timeoutMs: 2000 };
}

function report(id: string, cpu: number): ServerReport {
  const resources = { cpu, memoryMb: 1000, gpu: 0 };
  return sampleReport({ id, capacity: resources, room: resources });
}

type SubmissionAge = Partial<Pick<Submission, "ageMs" | "maxAgeMs">>;

interface Harness {
  readonly dispatcher: Dispatcher;
  readonly answers: Map<number, Answer>;
  /** Returns the frames sent to a session since the last call. */
  frames(session: number, now: number): readonly DispatchFrame[];
  submit(id: number, job: Job, now: number, age?: SubmissionAge): void;
  connect(
    session: number,
    side: string,
    server: ServerReport,
    now: number,
  ): void;
  receive(session: number, frame: Partial<WorkFrame>, now: number): void;
}

function createHarness(): Harness {
  const dispatcher = createDispatcher({
    entry: "entry",
    timing: SAMPLE_TIMING,
    remoteFactor: SAMPLE_REMOTE_FACTOR,
    random: () => 0,
  });
  const answers = new Map<number, Answer>();
  const sent = new Map<number, DispatchFrame[]>();

  function performEffects(now: number): void {
    for (const effect of dispatcher.takeEffects(now)) {
      if (effect.kind === "answer") {
        answers.set(effect.submission, effect.answer);
      } else if (effect.kind === "send") {
        const frames = sent.get(effect.session) ?? [];
        sent.set(effect.session, [...frames, effect.frame]);
      }
    }
  }

  function receive(
    session: number,
    overrides: Partial<WorkFrame>,
    now: number,
  ): void {
    const frame: WorkFrame = { kind: "work", seen: 99, news: [], ...overrides };
    dispatcher.frameReceived(session, frame, now);
    performEffects(now);
  }

  dispatcher.tick(0);
  return {
    dispatcher,
    answers,
    frames(session, now) {
      performEffects(now);
      const frames = sent.get(session) ?? [];
      sent.delete(session);
      return frames;
    },
    submit(id, submittedJob, now, age = {}) {
      const queue = sampleQueue();
      const submission = {
        id,
        job: submittedJob,
        queue,
        configurationVersion: 1,
        ageMs: 0,
        ...age,
      };
      dispatcher.submit(submission, now);
      performEffects(now);
    },
    connect(session, side, server, now) {
      dispatcher.sessionOpened(session, now);
      receive(session, { side, dataCentre: "a", server }, now);
    },
    receive,
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

describe("dispatcher", () => {
  it("answers with completed once all tasks are done", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 4000), START_MS);
    harness.submit(1, job("j", [sampleStep({ count: 2 })]), START_MS);
    expect(offers(harness.frames(1, START_MS))).to.have.length(2);
    harness.receive(1, { news: [ended("j", "done")] }, START_MS + 50);
    expect(harness.answers.size).to.equal(0);
    harness.receive(
      1,
      { news: [ended("j", "done", { index: 1 })] },
      START_MS + 60,
    );
    expect(harness.answers.get(1)).to.deep.equal({ kind: "completed" });
  });

  // All tasks of a job are planned before the first of them is offered.
  it("places at most maxPerServer tasks of a step on a server", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 8000), START_MS);
    const steps = [
      sampleStep({ count: 4, maxPerServer: 1 }),
      sampleStep({ count: 2, maxPerServer: 2 }),
    ];
    harness.submit(1, job("j", steps), START_MS);
    const first = offers(harness.frames(1, START_MS));
    expect(first.map(({ task }) => task.step)).to.deep.equal([0, 1, 1]);
    harness.connect(2, "two", report("s2", 8000), START_MS + 1);
    expect(offers(harness.frames(2, START_MS + 1))).to.have.length(1);
    harness.receive(1, { news: [ended("j", "done")] }, START_MS + 50);
    expect(offers(harness.frames(1, START_MS + 50))).to.have.length(1);
  });

  it("offers a step once the steps before it are done", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 4000), START_MS);
    harness.submit(
      1,
      job("j", [sampleStep(), sampleStep({ after: [0] })]),
      START_MS,
    );
    const first = offers(harness.frames(1, START_MS));
    expect(first.map((offer) => offer.task.step)).to.deep.equal([0]);
    harness.receive(1, { news: [ended("j", "done")] }, START_MS + 50);
    const second = offers(harness.frames(1, START_MS + 50));
    expect(second.map((offer) => offer.task.step)).to.deep.equal([1]);
  });

  it("retries a failed run on another server until its attempts are used up", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 4000), START_MS);
    harness.connect(2, "two", report("s2", 4000), START_MS);
    harness.submit(1, job("j"), START_MS);
    const [first, second] = offers(harness.frames(1, START_MS)).length === 1
      ? [1, 2]
      : [2, 1];
    harness.frames(second, START_MS);
    harness.receive(first, { news: [ended("j", "failed")] }, START_MS + 50);
    const [retry] = offers(harness.frames(second, START_MS + 50));
    expect(retry?.run).to.equal(2);
    expect(harness.answers.size).to.equal(0);
    harness.receive(
      second,
      { news: [ended("j", "failed", { run: 2 })] },
      START_MS + 90,
    );
    expect(harness.answers.get(1)).to.deep.equal({
      kind: "failed",
      reason: "attemptsUsed",
    });
  });

  it("retries a failed run on the same server if there is no other", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 4000), START_MS);
    harness.submit(1, job("j"), START_MS);
    harness.frames(1, START_MS);
    harness.receive(1, { news: [ended("j", "failed")] }, START_MS + 50);
    const [retry] = offers(harness.frames(1, START_MS + 50));
    expect(retry?.run).to.equal(2);
  });

  it("retries on a suspect server if there is no other", () => {
    const harness = createHarness();
    const suspect = { ...report("s1", 4000), isSuspect: true };
    harness.connect(1, "one", suspect, START_MS);
    harness.submit(1, job("j"), START_MS);
    harness.frames(1, START_MS);
    harness.receive(1, { news: [ended("j", "failed")] }, START_MS + 50);
    const [retry] = offers(harness.frames(1, START_MS + 50));
    expect(retry?.run).to.equal(2);
  });

  it("immediately refuses only jobs predicted to complete too late to be of use", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 1000), START_MS);
    // Objective 220 ms, stale after 660 ms; each job uses the core for 100 ms.
    for (let id = 1; id <= 5; id += 1) {
      harness.submit(id, job(`j${id}`), START_MS);
    }
    expect([...harness.answers.keys()]).to.deep.equal([5]);
    expect(harness.answers.get(5)).to.include({
      kind: "refused",
      reason: "overload",
    });
  });

  it("places late jobs on capacity that no other job needs", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 1000), START_MS);
    for (const id of [1, 2, 3]) harness.submit(id, job(`j${id}`), START_MS);
    for (const id of [1, 2, 3]) {
      const now = START_MS + id * 120;
      harness.dispatcher.tick(now);
      const offered = offers(harness.frames(1, now)).map(({ task }) =>
        task.job
      );
      expect(offered).to.deep.equal([`j${id}`]);
      const server = report("s1", 1000);
      harness.receive(1, { server, news: [ended(`j${id}`, "done")] }, now + 1);
      expect(harness.answers.get(id)).to.deep.equal({ kind: "completed" });
    }
  });

  it("holds jobs during server discovery even if they become late", () => {
    const harness = createHarness();
    for (const id of [1, 2]) harness.submit(id, job(`j${id}`), 100);
    harness.dispatcher.tick(450);
    harness.connect(1, "one", report("s1", 1000), 450);
    harness.dispatcher.tick(470);
    expect(offers(harness.frames(1, 470))).to.have.length(1);
    expect(harness.answers.size).to.equal(0);
  });

  it("times out rather than refuses a job once a task was offered", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 1000), START_MS);
    harness.submit(1, job("j"), START_MS);
    for (let now = START_MS; now < START_MS + 3000; now += 100) {
      harness.receive(1, {}, now);
      harness.dispatcher.tick(now);
    }
    harness.frames(1, START_MS + 3000);
    expect(harness.answers.get(1)).to.deep.equal({ kind: "timedOut" });
  });

  it("waits until shortly before the caller's timeout expires", () => {
    const harness = createHarness();
    const longJob = { ...job("j"), timeoutMs: 60_000 };
    harness.connect(1, "one", report("s1", 1000), START_MS);
    harness.submit(1, longJob, START_MS);
    for (let now = START_MS; now < START_MS + 59_900; now += 100) {
      harness.receive(1, {}, now);
      harness.dispatcher.tick(now);
    }
    harness.frames(1, START_MS + 59_900);
    expect(harness.answers.size).to.equal(0);
    harness.dispatcher.tick(START_MS + 60_000);
    harness.frames(1, START_MS + 60_000);
    expect(harness.answers.get(1)).to.deep.equal({ kind: "timedOut" });
  });

  it("stops the runs of a caller that disconnected", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 4000), START_MS);
    harness.submit(1, job("j"), START_MS);
    harness.frames(1, START_MS);
    harness.dispatcher.abandon(1, START_MS + 10);
    expect(stops(harness.frames(1, START_MS + 10))).to.have.length(1);
    expect(harness.dispatcher.liveJobs()).to.equal(1);
    harness.receive(1, { news: [ended("j", "stopped")] }, START_MS + 60);
    expect(harness.dispatcher.liveJobs()).to.equal(0);
  });

  it("starts a resubmitted job only after its earlier runs have ended", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 4000), START_MS);
    harness.submit(1, job("j"), START_MS);
    harness.frames(1, START_MS);
    harness.submit(2, job("j"), START_MS + 20);
    const between = harness.frames(1, START_MS + 20);
    expect(offers(between)).to.deep.equal([]);
    expect(stops(between)).to.have.length(1);
    harness.receive(1, { news: [ended("j", "stopped")] }, START_MS + 70);
    expect(offers(harness.frames(1, START_MS + 70))).to.have.length(1);
  });

  it("continues above the highest run number that a side reports", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 4000), START_MS);
    harness.submit(1, job("j"), START_MS);
    harness.frames(1, START_MS);
    const task = { job: "j", occurrence: 0, step: 0, index: 0 };
    const news: RunUpdate = {
      kind: "refused",
      ref: { task, run: 1 },
      reason: "superseded",
      highestRun: 4,
    };
    harness.receive(
      1,
      { news: [news], server: report("s1", 4000) },
      START_MS + 5,
    );
    const [retry] = offers(harness.frames(1, START_MS + 5));
    expect(retry?.run).to.equal(5);
  });

  it("does not retry a run while it may still be active on a lost side", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 4000), START_MS);
    harness.submit(1, job("j"), START_MS);
    harness.frames(1, START_MS);
    harness.connect(2, "two", report("s2", 4000), START_MS + 1);
    harness.dispatcher.sessionClosed(1, START_MS + 10);
    for (let now = START_MS + 20; now < START_MS + 1490; now += 100) {
      harness.receive(2, {}, now);
      harness.dispatcher.tick(now);
      expect(offers(harness.frames(2, now)), `at ${now}`).to.deep.equal([]);
    }
    harness.dispatcher.tick(START_MS + 1520);
    expect(offers(harness.frames(2, START_MS + 1520))).to.have.length(1);
  });

  it("reclaims its runs when a side reconnects", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 4000), START_MS);
    harness.submit(1, job("j"), START_MS);
    harness.frames(1, START_MS);
    harness.dispatcher.sessionClosed(1, START_MS + 10);
    harness.connect(2, "one", report("s1", 4000), START_MS + 100);
    const claims = harness.frames(2, START_MS + 100)
      .flatMap((frame) => frame.claims ?? []);
    expect(claims.map((claim) => claim.ref.run)).to.deep.equal([1]);
    harness.receive(2, { news: [ended("j", "done")] }, START_MS + 150);
    expect(harness.answers.get(1)).to.deep.equal({ kind: "completed" });
  });

  it("moves a stalled task once its run has stopped", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 4000), START_MS);
    harness.submit(1, job("j"), START_MS);
    harness.frames(1, START_MS);
    harness.connect(2, "two", report("s2", 4000), START_MS + 1);
    const task = { job: "j", occurrence: 0, step: 0, index: 0 };
    const stalled: RunUpdate = { kind: "stalled", ref: { task, run: 1 } };
    harness.receive(1, { news: [stalled] }, START_MS + 300);
    expect(stops(harness.frames(1, START_MS + 300))).to.have.length(1);
    expect(offers(harness.frames(2, START_MS + 300))).to.deep.equal([]);
    harness.receive(1, { news: [ended("j", "stopped")] }, START_MS + 340);
    expect(offers(harness.frames(2, START_MS + 340))).to.have.length(1);
  });

  it("holds jobs shortly after startup while no server is known", () => {
    const harness = createHarness();
    harness.submit(1, job("j"), 100);
    expect(harness.answers.size).to.equal(0);
    harness.connect(1, "one", report("s1", 4000), 400);
    expect(offers(harness.frames(1, 400))).to.have.length(1);
  });

  it("refuses jobs immediately if no server is known after startup", () => {
    const harness = createHarness();
    harness.submit(1, job("j"), START_MS);
    expect(harness.answers.get(1)).to.include({
      kind: "refused",
      reason: "unavailable",
    });
  });

  it("refuses jobs that use unsupported features", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 4000), START_MS);
    harness.submit(1, job("j", [sampleStep({ isGang: true })]), START_MS);
    expect(offers(harness.frames(1, START_MS))).to.deep.equal([]);
    expect(harness.answers.get(1)).to.include({
      kind: "refused",
      reason: "unsupported",
    });
  });

  it("refuses jobs that would not end before shutdown", () => {
    const harness = createHarness();
    harness.connect(1, "one", report("s1", 4000), START_MS);
    harness.dispatcher.setStopDeadline(START_MS + 150);
    harness.submit(1, job("j"), START_MS);
    expect(harness.answers.get(1)).to.include({
      kind: "refused",
      reason: "stopping",
    });
  });

  it("immediately refuses a resubmitted job whose answer would be too late", () => {
    const harness = createHarness();
    harness.connect(1, "side", report("server", 1000), 0);
    const now = 100;
    harness.submit(1, job("a"), now, { ageMs: 1500 });
    expect(harness.answers.get(1)).to.include({
      kind: "refused",
      reason: "overload",
    });
  });

  it("starts new jobs before resubmitted ones that would be late", () => {
    const harness = createHarness();
    const server = report("server", 1000);
    harness.connect(1, "side", { ...server, room: NO_RESOURCES }, START_MS);
    harness.submit(1, job("back"), START_MS, { ageMs: 250 });
    harness.submit(2, job("new"), START_MS);
    harness.receive(1, { server }, START_MS + 10);
    const offered = harness.frames(1, START_MS + 10).flatMap((frame) =>
      frame.offers.map((offer) => offer.task.job)
    );
    expect(offered).to.deep.equal(["new"]);
  });

  // The entry was paused: the caller may give up, and resubmit its job to another
  // entry, long before the timeout that counts from when the job was read.
  it("ends the runs of a job that waited unread before it can run elsewhere", () => {
    const harness = createHarness();
    const { resubmitAfterMs } = SAMPLE_TIMING;
    const maxAgeMs = resubmitAfterMs + 1000;
    harness.connect(1, "side", report("server", 1000), START_MS);
    harness.submit(1, job("a"), START_MS, { maxAgeMs });
    expect(offers(harness.frames(1, START_MS))).to.have.length(1);
    const resubmittedAt = START_MS - maxAgeMs + 2000 + resubmitAfterMs;
    harness.dispatcher.tick(resubmittedAt - 1);
    const sent = harness.frames(1, resubmittedAt - 1);
    expect(stops(sent)).to.have.length(1);
    expect(harness.answers.get(1)).to.deep.equal({ kind: "timedOut" });
  });

  it("refuses a job that may have been resubmitted while it waited unread", () => {
    const harness = createHarness();
    harness.connect(1, "side", report("server", 1000), START_MS);
    const maxAgeMs = SAMPLE_TIMING.resubmitAfterMs + 2000;
    harness.submit(1, job("a"), START_MS, { maxAgeMs });
    expect(offers(harness.frames(1, START_MS))).to.deep.equal([]);
    expect(harness.answers.get(1)).to.include({
      kind: "refused",
      reason: "overload",
    });
  });
});
