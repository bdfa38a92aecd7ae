/**
 * Guards against a run that is reported as lost, and so started elsewhere, while
 * its lease still lasts on its own server: the server's clock runs slow, and the
 * side requested a lease by a reading of that clock from long before.
 */
import type { Offer, RunUpdate } from "@coltsfootreach/run";
import {
  SAMPLE_BOUNDS,
  SAMPLE_TIMING,
  sampleAnnouncement,
} from "@coltsfootreach/standin";
import { expect } from "chai";
import fc from "fast-check";
import type { WorkerEffect } from "./effect.ts";
import { createWorkerCore } from "./worker_core.ts";

const OWNER = 1;

const TICK_MS = 25;

const SERVER_STARTED_AT = -100_000;

/** Longest time that the checks follow a run; leases are shorter. */
const FOLLOWED_MS = 3000;

const ANNOUNCEMENT = sampleAnnouncement();

const OFFER: Offer = {
  task: { job: "job", occurrence: 0, step: 0, index: 0 },
  run: 1,
  payload: "p",
  resources: { cpu: 1000, memoryMb: 10, gpu: 0 },
  estimateMs: 100,
  server: "server",
  born: 77,
};

interface LeaseScenario {
  /** Rate of the server's clock. */
  readonly clockRate: number;
  /** Time without runs before the offer. */
  readonly idleMs: number;
  /** How many list requests with runs the server answers before it goes mute. */
  readonly answeredLists: number;
}

interface LeaseOutcome {
  /** Whether the server accepted the start. */
  readonly isStarted: boolean;
  /** When the lease ends on the server. */
  readonly leaseEndsAt: number;
  /** When the side reported the run as lost; undefined if it never did. */
  readonly lostAt: number | undefined;
}

/** Plays a server that carries requests out, but goes mute after some of them. */
function playMuteServer(scenario: LeaseScenario): LeaseOutcome {
  const { clockRate, idleMs, answeredLists } = scenario;
  const core = createWorkerCore({
    side: "side",
    dataCentre: "a",
    timing: SAMPLE_TIMING,
    initialFencingToken: 1,
  });
  const serverClock = (now: number) =>
    Math.floor((now - SERVER_STARTED_AT) * clockRate);
  let leaseUntil = 0;
  let isStarted = false;
  let remainingAnswers = answeredLists;
  let lostAt: number | undefined;
  let sequence = 0;

  function extendLease(untilMs: number | undefined, now: number): void {
    if (untilMs === undefined) return;
    const maxUntilMs = serverClock(now) + SAMPLE_BOUNDS.maxLeaseMs;
    leaseUntil = Math.max(leaseUntil, Math.min(untilMs, maxUntilMs));
  }

  function serve(effect: WorkerEffect, now: number): void {
    if (effect.kind === "start") {
      isStarted = effect.request.untilMs > serverClock(now);
      extendLease(effect.request.untilMs, now);
      core.startReplied(effect.request.ref, { kind: "started" }, now);
    } else if (effect.kind === "list") {
      extendLease(effect.request.untilMs, now);
      if (isStarted && remainingAnswers === 0) return;
      if (isStarted) remainingAnswers -= 1;
      core.listReplied(effect.request, {
        kind: "listed",
        clockMs: serverClock(now),
        born: 77,
        running: isStarted ? [{ ref: OFFER, percent: 1 }] : [],
        ends: [],
      }, now);
    } else if (effect.kind === "send") {
      recordNews(effect.frame.news, now);
    }
  }

  function recordNews(news: readonly RunUpdate[], now: number): void {
    if (news.some((update) => update.kind === "lost")) lostAt ??= now;
  }

  function sendFrame(offers: readonly Offer[], now: number): void {
    sequence += 1;
    const frame = { kind: "dispatch", sequence, offers, stops: [] } as const;
    core.ownerSent(OWNER, frame, now);
  }

  function advance(now: number): void {
    sendFrame([], now);
    core.tick(now);
    applyEffects(now);
  }

  function applyEffects(now: number): void {
    for (const effect of core.takeEffects(now)) serve(effect, now);
    for (const effect of core.takeEffects(now)) serve(effect, now);
  }

  core.announced(ANNOUNCEMENT);
  core.ownerOpened(OWNER, 0);
  for (let now = 0; now < idleMs; now += TICK_MS) advance(now);
  sendFrame([OFFER], idleMs);
  applyEffects(idleMs);
  const end = idleMs + FOLLOWED_MS;
  for (let now = idleMs + TICK_MS; now < end; now += TICK_MS) advance(now);
  const leaseEndsAt = SERVER_STARTED_AT + leaseUntil / clockRate;
  return { isStarted, leaseEndsAt, lostAt };
}

describe("leases of runs", () => {
  it("have ended on a slow clock when their runs are reported as lost", () => {
    const scenario = { clockRate: 0.98, idleMs: 25_000, answeredLists: 0 };
    const { isStarted, lostAt, leaseEndsAt } = playMuteServer(scenario);
    expect(isStarted).to.equal(true);
    expect(lostAt).to.be.at.least(leaseEndsAt);
  });

  it("are long enough to start a run after any idle time", () => {
    for (const idleMs of [1000, 60_000, 600_000]) {
      const scenario = { clockRate: 1, idleMs, answeredLists: 1 };
      expect(playMuteServer(scenario).isStarted, `${idleMs}`).to.equal(true);
    }
  });

  it("have ended when their runs are reported as lost, whatever the clock", () => {
    const scenarios = fc.record({
      clockRate: fc.double({ min: 0.98, max: 1, noNaN: true }),
      idleMs: fc.integer({ min: 200, max: 40_000 }),
      answeredLists: fc.integer({ min: 0, max: 5 }),
    });
    fc.assert(
      fc.property(scenarios, (scenario) => {
        const { lostAt, leaseEndsAt } = playMuteServer(scenario);
        expect(lostAt).to.be.at.least(leaseEndsAt);
      }),
      { numRuns: 60 },
    );
  });
});
