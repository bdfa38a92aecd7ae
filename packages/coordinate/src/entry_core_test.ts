import { expect } from "chai";
import { createConfigurationHolder } from "@coltsfootreach/configure";
import { createTenantQueue } from "@coltsfootreach/limit";
import { ownerOf } from "@coltsfootreach/ownership";
import { createLeastOutstanding } from "@coltsfootreach/place";
import {
  type ComputeResources,
  type EntryMessage,
  type Hello,
  type Job,
  jobId,
  type Member,
  type Reply,
  type SideFrame,
  type SideMessage,
  type Start,
  type Table,
} from "@coltsfootreach/types";
import { err } from "neverthrow";
import type { EntryEffect } from "./effect.ts";
import { createEntryCore, type EntryCore } from "./entry_core.ts";
import { NO_LIMITS } from "./limits.ts";

const SIZE: ComputeResources = { cores: 4, memoryMb: 1000, accelerators: 0 };

const WALL_MS = 1_000_000_000;

const ME: Member = {
  incarnation: "me",
  name: "entry-0",
  dataCentre: "a",
  address: "127.0.0.1:1",
  draining: false,
};

const TABLE: Table = { version: 1, members: [ME], removals: [] };

function jobOf(
  key: string,
  sizes: readonly Partial<ComputeResources>[] = [{}],
): Job {
  return {
    key,
    tenant: "t",
    class: "c",
    deadlineMs: 1000,
    firstSubmittedAtMs: WALL_MS,
    tasks: sizes.map((size, index) => ({
      body: `body ${index}`,
      size: { cores: 1, memoryMb: 0, accelerators: 0, ...size },
      declaredMs: 10,
      idempotent: false,
    })),
  };
}

describe("an entry's core", () => {
  let core: EntryCore;
  let nowMs: number;
  let sequence: number;
  let requests: number;

  beforeEach(() => {
    nowMs = 0;
    sequence = 0;
    requests = 0;
    core = createEntryCore({
      member: ME,
      records: {
        windowMs: 600_000,
        skewMs: 5000,
        maxRecords: 100,
        overdueMs: 5000,
        orphanMs: 30_000,
      },
      queue: createTenantQueue(),
      policy: createLeastOutstanding(() => 0),
      limits: NO_LIMITS,
      wallMs: () => WALL_MS + nowMs,
      holder: createConfigurationHolder({
        parse: () => err({ message: "no configuration here" }),
      }),
      excerptForSides: () => "",
      freshnessMs: 3000,
      sideLostMs: 3000,
      doubtMs: 10_000,
      maxHeld: 10,
    });
    core.tableLearned(TABLE, nowMs);
    tick();
  });

  function tick(): readonly EntryEffect[] {
    return core.tick({ nowMs, wallMs: WALL_MS + nowMs });
  }

  function fromSide(
    messages: readonly SideMessage[],
    incarnation = "s1",
  ): readonly EntryEffect[] {
    sequence += 1;
    const frame: SideFrame = {
      side: "s",
      incarnation,
      sequence,
      stampMs: nowMs,
      tableVersion: 1,
      configurationVersion: 0,
      load: { running: 0, queued: 0 },
      held: 0,
      messages,
    };
    return core.sideFrame(frame, nowMs);
  }

  function helloFrom(incarnation = "s1"): Hello {
    return {
      kind: "hello",
      identity: {
        side: "s",
        incarnation,
        dataCentre: "a",
        rack: "r",
        worker: "w",
      },
      registration: 1,
      announcement: {
        server: "b",
        origin: "http://127.0.0.1:2",
        slots: 8,
        connections: 8,
        classes: ["c"],
        size: SIZE,
      },
      draining: false,
    };
  }

  function submit(job: Job): readonly EntryEffect[] {
    requests += 1;
    const ask = { kind: "submit", job, wait: true } as const;
    const request = { request: requests, job: jobId(job), ask };
    return [...core.request(request, nowMs), ...core.dispatch(nowMs)];
  }

  function messagesOf(
    effects: readonly EntryEffect[],
  ): readonly EntryMessage[] {
    return effects.flatMap((effect) =>
      effect.kind === "toSide" ? [effect.message] : []
    );
  }

  function startsOf(effects: readonly EntryEffect[]): readonly Start[] {
    return messagesOf(effects).filter((one) => one.kind === "start");
  }

  function repliesOf(effects: readonly EntryEffect[]): readonly Reply[] {
    return effects.flatMap((effect) =>
      effect.kind === "reply" ? [effect.reply] : []
    );
  }

  function resultOf(job: Job, index: number): SideMessage {
    const outcome = {
      index,
      state: "complete",
      verdict: "ran",
      body: `done ${index}`,
    } as const;
    return { kind: "result", job: jobId(job), outcome };
  }

  it("answers a job whole and in order, whatever order results come in", () => {
    fromSide([helloFrom()]);
    const job = jobOf("k", [{}, {}]);
    expect(startsOf(submit(job))).to.have.length(2);
    expect(repliesOf(fromSide([resultOf(job, 1)]))).to.deep.equal([]);
    const [reply] = repliesOf(fromSide([resultOf(job, 0)]));
    expect(reply?.kind).to.equal("answered");
    const { answer } = reply as Extract<Reply, { kind: "answered" }>;
    expect(answer.outcomes.map(({ body }) => body))
      .to.deep.equal(["done 0", "done 1"]);
    expect(answer).to.include({ state: "complete", late: false });
  });

  it("starts a resubmission's tasks once and answers both callers", () => {
    fromSide([helloFrom()]);
    const job = jobOf("k");
    expect(startsOf(submit(job))).to.have.length(1);
    expect(startsOf(submit(job))).to.have.length(0);
    expect(repliesOf(fromSide([resultOf(job, 0)]))).to.have.length(2);
  });

  describe("after the loss of an owner and of a side with evidence", () => {
    const other: Member = { ...ME, incarnation: "other", name: "entry-1" };
    const shared: Table = { ...TABLE, version: 2, members: [ME, other] };
    let moved: Job;

    beforeEach(() => {
      const keys = Array.from({ length: 50 }, (_, number) => `k${number}`);
      moved = keys.map((key) => jobOf(key))
        .find((job) => ownerOf(shared, jobId(job)) === other)!;
      fromSide([helloFrom("s1")]);
      core.tableLearned(shared, nowMs);
      core.tableLearned({
        version: 3,
        members: [ME],
        removals: [{ incarnation: "other", name: "entry-1", version: 3 }],
      }, nowMs);
      fromSide([helloFrom("s2")], "s2");
      const evidence = { kind: "evidence", tableVersion: 3, jobs: [] } as const;
      fromSide([evidence], "s2");
      tick();
    });

    it("ends a job that may have run, and starts none of it", () => {
      const effects = submit(moved);
      expect(startsOf(effects)).to.deep.equal([]);
      const [reply] = repliesOf(effects);
      expect(reply).to.have.nested.property("answer.state", "failed");
      expect(reply).to.have.nested.property("answer.verdict", "mayHaveRun");
    });

    it("does not say of an unknown job that it was not run", () => {
      const request = {
        request: 1,
        job: jobId(moved),
        ask: { kind: "cancel" },
      } as const;
      const [reply] = repliesOf(core.request(request, nowMs));
      expect(reply).to.have.nested.property("refusal.verdict", "mayHaveRun");
    });
  });

  it("ends what a former owner sent to a side that is over", () => {
    const other: Member = { ...ME, incarnation: "other", name: "entry-1" };
    const members = [ME, { ...other, draining: true }];
    core.tableLearned({ ...TABLE, version: 2, members }, nowMs);
    const job = jobOf("k");
    core.peerFrame({
      entry: "other",
      tableVersion: 2,
      configurationVersion: 0,
      messages: [{
        kind: "handOver",
        batch: 1,
        tableVersion: 2,
        records: [{
          id: jobId(job),
          job,
          ageMs: 0,
          leftMs: job.deadlineMs,
          tasks: [{ kind: "sent", side: "gone", attempt: 1 }],
        }],
        sides: [],
        endedSides: [{ incarnation: "gone", registration: 1 }],
        doubt: {
          tableVersion: 0,
          bornBeforeWallMs: 0,
          leftMs: 0,
          isNew: false,
        },
      }],
    }, nowMs);
    tick();
    expect(repliesOf(submit(job))).to.deep.equal([]);
    nowMs += job.deadlineMs + 1;
    const [reply] = repliesOf(tick());
    expect(reply).to.have.nested.property("answer.verdict", "mayHaveRun");
  });

  it("refuses another job under the same key", () => {
    submit(jobOf("k"));
    const [reply] = repliesOf(submit(jobOf("k", [{}, {}])));
    expect(reply).to.have.nested.property("refusal.code", "conflict");
  });

  it("fails a job at once when a task fits no worker", () => {
    fromSide([helloFrom()]);
    const effects = submit(jobOf("k", [{}, { cores: 64 }]));
    expect(startsOf(effects)).to.deep.equal([]);
    const [seal] = messagesOf(effects);
    expect(seal?.kind).to.equal("sealJob");
    const sealed = { kind: "jobSealed", job: "t\nk" } as const;
    const [reply] = repliesOf(fromSide([sealed]));
    expect(reply).to.have.nested.property("answer.verdict", "notRun");
    expect(reply).to.have.nested.property("answer.outcomes[0].reason")
      .that.includes("task 1 fits no worker");
  });

  it("says notRun only after a side has noted the end of the job", () => {
    fromSide([helloFrom()]);
    const job = jobOf("k");
    submit(job);
    const [start] = [...core.records.open()].map(({ tasks }) => tasks[0]);
    const attempt = start?.kind === "sent" ? start.attempt : 0;
    nowMs = 1001;
    const refused = {
      kind: "refused",
      job: "t\nk",
      index: 0,
      attempt,
      reason: "deadlinePassed",
    } as const;
    const effects = fromSide([refused]);
    expect(repliesOf(effects)).to.deep.equal([]);
    expect(messagesOf(effects).map(({ kind }) => kind))
      .to.deep.equal(["sealJob"]);
    const sealed = { kind: "jobSealed", job: "t\nk" } as const;
    const [reply] = repliesOf(fromSide([sealed]));
    expect(reply).to.have.nested.property("answer.late", true);
    expect(reply).to.have.nested.property("answer.verdict", "notRun");
  });

  it("ignores a refusal of an earlier attempt", () => {
    fromSide([helloFrom()]);
    const job = jobOf("k");
    const [first] = startsOf(submit(job));
    core.sideClosed("s1");
    const [second] = startsOf(fromSide([helloFrom()]));
    expect(second!.attempt).to.be.greaterThan(first!.attempt);
    const reason = "queueFull" as const;
    const { attempt } = first!;
    const refused = {
      kind: "refused",
      job: "t\nk",
      index: 0,
      attempt,
      reason,
    } as const;
    fromSide([refused]);
    expect(startsOf(core.dispatch(nowMs))).to.deep.equal([]);
  });

  it("ends what ran on a side as in doubt when a new run replaces it", () => {
    fromSide([helloFrom()]);
    submit(jobOf("k"));
    const [reply] = repliesOf(fromSide([helloFrom("s2")], "s2"));
    expect(reply).to.have.nested.property("answer.verdict", "mayHaveRun");
  });

  it("takes a job that its earlier owner sealed as ended", () => {
    fromSide([helloFrom()]);
    const evidence = {
      kind: "evidence",
      tableVersion: 1,
      jobs: [{ job: "t\nk", of: 1, sealed: true, tasks: [] }],
    } as const;
    fromSide([evidence]);
    expect(startsOf(submit(jobOf("k")))).to.deep.equal([]);
    tick();
    const sealed = { kind: "jobSealed", job: "t\nk" } as const;
    const [reply] = repliesOf(fromSide([sealed]));
    expect(reply).to.have.nested.property("answer.state", "failed");
    expect(reply).to.have.nested.property("answer.verdict", "notRun");
  });

  it("refuses a key that does not tell its age", () => {
    const { firstSubmittedAtMs: _, ...job } = jobOf("k");
    const [reply] = repliesOf(submit(job));
    expect(reply).to.have.nested.property("refusal.code", "malformed");
    const old = { ...jobOf("k2"), firstSubmittedAtMs: WALL_MS - 600_001 };
    const [tooOld] = repliesOf(submit(old));
    expect(tooOld).to.have.nested.property("refusal.code", "tooOld");
    expect(tooOld).to.have.nested.property("refusal.verdict", "mayHaveRun");
  });
});
