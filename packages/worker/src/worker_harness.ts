/** A worker core with an idle server that has joined, for the core's tests. */
import type {
  Claim,
  DispatchFrame,
  Offer,
  RunRef,
  RunUpdate,
} from "@coltsfootreach/run";
import { SAMPLE_TIMING, sampleAnnouncement } from "@coltsfootreach/standin";
import type { ListedRun, ListReply, ListRequest } from "./calls.ts";
import type { WorkerEffect } from "./effect.ts";
import { createWorkerCore, type WorkerCore } from "./worker_core.ts";

export const OWNER = 1;

export const FIRST_TOKEN = 5001;

export const ANNOUNCEMENT = sampleAnnouncement();

export interface Harness {
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

export function refOf(index: number, run = 1) {
  return { task: { job: "job", occurrence: 0, step: 0, index }, run };
}

/** An offer to the server that has joined. */
export function offerOf(ref: RunRef): Offer {
  return {
    ...ref,
    payload: "p",
    resources: { cpu: 1000, memoryMb: 10, gpu: 0 },
    estimateMs: 100,
    server: "server",
    born: 77,
  };
}

export function claimOf(ref: RunRef): Claim {
  return {
    ref,
    resources: { cpu: 1000, memoryMb: 10, gpu: 0 },
    estimateMs: 100,
  };
}

export function createFrame(
  sequence: number,
  overrides: Partial<DispatchFrame>,
): DispatchFrame {
  return { kind: "dispatch", sequence, offers: [], stops: [], ...overrides };
}

/** Creates a core with an idle server that has joined, and one entry. */
export function createHarness(): Harness {
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
      const offer = { ...offerOf(refOf(index)), ...overrides };
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

export function startRequests(effects: readonly WorkerEffect[]) {
  return effects.flatMap((effect) =>
    effect.kind === "start" ? [effect.request] : []
  );
}

export function stoppedRuns(effects: readonly WorkerEffect[]) {
  return effects.flatMap((effect) =>
    effect.kind === "stop" ? [effect.request.ref] : []
  );
}

export function listRequests(effects: readonly WorkerEffect[]) {
  return effects.filter((effect) => effect.kind === "list");
}

/** Starts one run, after which the side polls for its end. */
export function startOneRun(harness: Harness): void {
  harness.offer(0, 10);
  harness.takeEffects(10);
  harness.core.startReplied(refOf(0), { kind: "started" }, 11);
}

export function listedRun(index: number, run = 1): ListedRun {
  return { ref: refOf(index, run), percent: 1 };
}

export function sentReports(effects: readonly WorkerEffect[]) {
  return effects.flatMap((effect) =>
    effect.kind === "send" && effect.frame.server !== undefined
      ? [effect.frame.server]
      : []
  );
}

/** Replies to each list request in the millisecond after it was sent. */
export function answerListRequests(
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
