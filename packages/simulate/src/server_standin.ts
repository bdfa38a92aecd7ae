/**
 * Stand-in for a backend server that implements the platform's protocol. It
 * starts every run it is asked to, stops runs when their lease expires, refuses
 * to start stopped runs again, and lists ended runs until they are acknowledged.
 * It reports violations of invariants to its observer.
 */
import {
  addResources,
  keyOfTask,
  NO_RESOURCES,
  type Resources,
  type RunOutcome,
  type RunRef,
} from "@coltsfootreach/run";
import type {
  ListReply,
  ListRequest,
  RunEnd,
  StartReply,
  StartRequest,
  StopReply,
  StopRequest,
} from "@coltsfootreach/worker";
import type { SimulatedClock } from "./clock.ts";

/** Actual resources and run time of a task, known only to the stand-in. */
export interface TaskProfile {
  readonly resources: Resources;
  readonly workMs: number;
  readonly fails: boolean;
}

export interface ServerObserver {
  started(server: ServerStandin, ref: RunRef): void;
  ended(server: ServerStandin, ref: RunRef, end: RunOutcome): void;
  reportViolation(rule: string, what: string): void;
}

export interface ServerStandinOptions {
  readonly clock: SimulatedClock;
  readonly id: string;
  readonly born: number;
  readonly capacity: Resources;
  /** Ratio of run time to work. */
  slowness: number;
  /** Rate of the server's own clock, on which leases are measured. */
  readonly clockRate: number;
  readonly maxLeaseMs: number;
  readonly stopMs: number;
  profileOf(ref: RunRef): TaskProfile;
  readonly observer: ServerObserver;
}

export interface ServerStandin {
  readonly id: string;
  readonly born: number;
  readonly capacity: Resources;
  start(request: StartRequest): StartReply;
  stop(request: StopRequest): StopReply;
  /** Long polling: answers once a run has ended or the wait has elapsed. */
  list(request: ListRequest, answer: (reply: ListReply) => void): void;
  /** Ends all runs without listing them; no further request is answered. */
  crash(): void;
  setSlowness(slowness: number): void;
  /** While true, runs that end on their own fail. */
  setFailing(isFailing: boolean): void;
  /** While true, runs make no progress. */
  setHanging(isHanging: boolean): void;
  clockMs(): number;
  runningCount(): number;
  isUp(): boolean;
  /** Starts after this time violate an invariant. */
  startDeadline: number;
}

interface LocalRun {
  readonly ref: RunRef;
  readonly profile: TaskProfile;
  readonly startedAt: number;
  percent: number;
  hasEnded: boolean;
}

interface PendingList {
  readonly request: ListRequest;
  readonly answer: (reply: ListReply) => void;
  isAnswered: boolean;
}

const STEP_INTERVAL_MS = 5;

export function createServerStandin(
  options: ServerStandinOptions,
): ServerStandin {
  const { clock, observer, capacity } = options;
  const startedAt = clock.now();
  let advancedAt = startedAt;
  const running = new Map<string, LocalRun>();
  const blockedRuns = new Map<string, number>();
  let ends: RunEnd[] = [];
  let endNumber = 0;
  let highestToken = 0;
  let leaseUntil = 0;
  let slowness = options.slowness;
  let isFailing = false;
  let isHanging = false;
  let isUp = true;
  let pendingLists: PendingList[] = [];

  const clockMs = () => (clock.now() - startedAt) * options.clockRate + 1000;

  function extendLease(untilMs: number | undefined): void {
    if (untilMs === undefined) return;
    const maxUntilMs = clockMs() + options.maxLeaseMs;
    leaseUntil = Math.max(leaseUntil, Math.min(untilMs, maxUntilMs));
  }

  function usage(): Resources {
    let sum = NO_RESOURCES;
    for (const run of running.values()) {
      sum = addResources(sum, run.profile.resources);
    }
    return sum;
  }

  function checkCapacity(): void {
    const used = usage();
    const isExceeded = used.cpu > capacity.cpu ||
      used.memoryMb > capacity.memoryMb || used.gpu > capacity.gpu;
    if (isExceeded) {
      observer.reportViolation("LIMIT", `${options.id} ${used.cpu}`);
    }
  }

  function endRun(run: LocalRun, outcome: RunOutcome): void {
    if (run.hasEnded) return;
    run.hasEnded = true;
    running.delete(keyOfTask(run.ref.task));
    endNumber += 1;
    ends.push({ number: endNumber, ref: run.ref, end: outcome });
    blockRun(run.ref);
    observer.ended(self, run.ref, outcome);
    answerPendingLists();
  }

  function blockRun(ref: RunRef): void {
    const key = keyOfTask(ref.task);
    blockedRuns.set(key, Math.max(ref.run, blockedRuns.get(key) ?? 0));
  }

  function advanceRuns(): void {
    if (!isUp) return;
    // On real clocks the step may come late.
    const elapsedMs = clock.now() - advancedAt;
    advancedAt += elapsedMs;
    for (const run of [...running.values()]) {
      if (clockMs() > leaseUntil) {
        endRun(run, "lapsed");
        continue;
      }
      if (isHanging) continue;
      run.percent += (100 * elapsedMs) / (run.profile.workMs * slowness);
      if (run.percent >= 100) {
        endRun(run, run.profile.fails || isFailing ? "failed" : "done");
      }
    }
    clock.after(STEP_INTERVAL_MS, advanceRuns);
  }

  function reply(request: ListRequest): ListReply {
    return {
      kind: "listed",
      clockMs: clockMs(),
      born: options.born,
      running: [...running.values()].map((run) => ({
        ref: run.ref,
        percent: Math.floor(run.percent),
      })),
      ends: ends.filter((runEnd) => runEnd.number > request.observed),
    };
  }

  function answerPendingList(pending: PendingList): void {
    if (pending.isAnswered) return;
    pending.isAnswered = true;
    pendingLists = pendingLists.filter((other) => other !== pending);
    if (isUp) pending.answer(reply(pending.request));
  }

  function answerPendingLists(): void {
    for (const pending of [...pendingLists]) answerPendingList(pending);
  }

  const self: ServerStandin = {
    id: options.id,
    born: options.born,
    capacity,
    startDeadline: Infinity,
    start(request) {
      if (!isUp) return { kind: "unanswered" };
      if (request.server.id !== options.id) {
        return { kind: "refused", reason: "other" };
      }
      if (request.fencingToken < highestToken) {
        return { kind: "refused", reason: "fence" };
      }
      highestToken = request.fencingToken;
      const key = keyOfTask(request.ref.task);
      const existing = running.get(key);
      extendLease(request.untilMs);
      if (existing?.ref.run === request.ref.run) {
        return { kind: "started" };
      }
      if (
        existing !== undefined || (blockedRuns.get(key) ?? 0) >= request.ref.run
      ) {
        return { kind: "refused", reason: "old" };
      }
      if (request.untilMs <= clockMs()) {
        return { kind: "refused", reason: "late" };
      }
      if (clock.now() > self.startDeadline) {
        observer.reportViolation("DRAIN", `${options.id} ${key}`);
      }
      running.set(key, {
        ref: request.ref,
        profile: options.profileOf(request.ref),
        startedAt: clock.now(),
        percent: 0,
        hasEnded: false,
      });
      observer.started(self, request.ref);
      checkCapacity();
      return { kind: "started" };
    },
    stop(request) {
      if (!isUp) return { isConfirmed: false };
      if (request.server.id !== options.id) return { isConfirmed: true };
      if (request.fencingToken < highestToken) return { isConfirmed: false };
      highestToken = request.fencingToken;
      blockRun(request.ref);
      const run = running.get(keyOfTask(request.ref.task));
      if (run !== undefined && run.ref.run <= request.ref.run) {
        clock.after(options.stopMs / 2, () => endRun(run, "stopped"));
      }
      return { isConfirmed: true };
    },
    list(request, answer) {
      if (!isUp) return;
      if (request.server.id !== options.id) {
        return answer({ kind: "otherLife" });
      }
      if (request.fencingToken < highestToken) {
        return answer({ kind: "fenced" });
      }
      highestToken = request.fencingToken;
      extendLease(request.untilMs);
      ends = ends.filter((runEnd) => runEnd.number > request.observed);
      const pending: PendingList = { request, answer, isAnswered: false };
      pendingLists.push(pending);
      if (ends.length > 0) answerPendingList(pending);
      else clock.after(request.waitMs, () => answerPendingList(pending));
    },
    crash() {
      isUp = false;
      for (const run of [...running.values()]) {
        run.hasEnded = true;
        running.delete(keyOfTask(run.ref.task));
        observer.ended(self, run.ref, "lapsed");
      }
    },
    setSlowness(next) {
      slowness = next;
    },
    setFailing(next) {
      isFailing = next;
    },
    setHanging(next) {
      isHanging = next;
    },
    clockMs,
    runningCount: () => running.size,
    isUp: () => isUp,
  };
  clock.after(STEP_INTERVAL_MS, advanceRuns);
  return self;
}
