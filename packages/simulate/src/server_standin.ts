/**
 * A backend server as the platform describes it: it starts whatever it is told
 * to, runs it under a lease, remembers stops, and keeps its list of ends until
 * they are taken in. It reports each breach of the promises to the checker.
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

/** What tasks need and how long they take, as only the stand-in knows. */
export interface TaskTruth {
  readonly resources: Resources;
  readonly workMs: number;
  readonly fails: boolean;
}

export interface ServerObserver {
  started(server: ServerStandin, ref: RunRef): void;
  ended(server: ServerStandin, ref: RunRef, end: RunOutcome): void;
  broke(rule: string, what: string): void;
}

export interface ServerStandinOptions {
  readonly clock: SimulatedClock;
  readonly id: string;
  readonly born: number;
  readonly capacity: Resources;
  /** Run time is work times this. */
  slowness: number;
  readonly maxLeaseMs: number;
  readonly stopMs: number;
  truth(ref: RunRef): TaskTruth;
  readonly observer: ServerObserver;
}

export interface ServerStandin {
  readonly id: string;
  readonly born: number;
  readonly capacity: Resources;
  start(request: StartRequest): StartReply;
  stop(request: StopRequest): StopReply;
  /** Answers when there is an end or the wait is over. */
  list(request: ListRequest, answer: (reply: ListReply) => void): void;
  /** All runs end without a trace; nothing answers any more. */
  crash(): void;
  setSlowness(slowness: number): void;
  /** Runs started from now on fail. */
  setFailing(isFailing: boolean): void;
  /** Work stands still. */
  setHanging(isHanging: boolean): void;
  clockMs(): number;
  runningCount(): number;
  isUp(): boolean;
  /** Nothing may be started after this time. */
  drainedFrom: number;
}

interface LocalRun {
  readonly ref: RunRef;
  readonly truth: TaskTruth;
  readonly startedAt: number;
  percent: number;
  isOver: boolean;
}

interface Waiter {
  readonly request: ListRequest;
  readonly answer: (reply: ListReply) => void;
  isDone: boolean;
}

const STEP_MS = 5;

export function createServerStandin(
  options: ServerStandinOptions,
): ServerStandin {
  const { clock, observer, capacity } = options;
  const startedAt = clock.now();
  const running = new Map<string, LocalRun>();
  const barred = new Map<string, number>();
  let ends: RunEnd[] = [];
  let endNumber = 0;
  let highestToken = 0;
  let leaseUntil = 0;
  let slowness = options.slowness;
  let isFailing = false;
  let isHanging = false;
  let isUp = true;
  let waiters: Waiter[] = [];

  const clockMs = () => clock.now() - startedAt + 1000;

  function extendLease(untilMs: number | undefined): void {
    if (untilMs === undefined) return;
    const longest = clockMs() + options.maxLeaseMs;
    leaseUntil = Math.max(leaseUntil, Math.min(untilMs, longest));
  }

  function usage(): Resources {
    let sum = NO_RESOURCES;
    for (const run of running.values()) {
      sum = addResources(sum, run.truth.resources);
    }
    return sum;
  }

  function checkRoom(): void {
    const used = usage();
    const isOver = used.cpu > capacity.cpu ||
      used.memoryMb > capacity.memoryMb || used.gpu > capacity.gpu;
    if (isOver) observer.broke("LIMIT", `${options.id} ${used.cpu}`);
  }

  function end(run: LocalRun, how: RunOutcome): void {
    if (run.isOver) return;
    run.isOver = true;
    running.delete(keyOfTask(run.ref.task));
    endNumber += 1;
    ends.push({ number: endNumber, ref: run.ref, end: how });
    bar(run.ref);
    observer.ended(self, run.ref, how);
    wake();
  }

  function bar(ref: RunRef): void {
    const key = keyOfTask(ref.task);
    barred.set(key, Math.max(ref.run, barred.get(key) ?? 0));
  }

  function step(): void {
    if (!isUp) return;
    for (const run of [...running.values()]) {
      if (clockMs() > leaseUntil) {
        end(run, "lapsed");
        continue;
      }
      if (isHanging) continue;
      run.percent += (100 * STEP_MS) / (run.truth.workMs * slowness);
      if (run.percent >= 100) {
        end(run, run.truth.fails || isFailing ? "failed" : "done");
      }
    }
    clock.after(STEP_MS, step);
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
      ends: ends.filter((row) => row.number > request.observed),
    };
  }

  function finishWaiter(waiter: Waiter): void {
    if (waiter.isDone) return;
    waiter.isDone = true;
    waiters = waiters.filter((other) => other !== waiter);
    if (isUp) waiter.answer(reply(waiter.request));
  }

  function wake(): void {
    for (const waiter of [...waiters]) finishWaiter(waiter);
  }

  const self: ServerStandin = {
    id: options.id,
    born: options.born,
    capacity,
    drainedFrom: Infinity,
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
      const known = running.get(key);
      extendLease(request.untilMs);
      if (known?.ref.run === request.ref.run) {
        return { kind: "started", clockMs: clockMs() };
      }
      if (known !== undefined || (barred.get(key) ?? 0) >= request.ref.run) {
        return { kind: "refused", reason: "old" };
      }
      if (request.untilMs <= clockMs()) {
        return { kind: "refused", reason: "late" };
      }
      if (clock.now() > self.drainedFrom) {
        observer.broke("DRAIN", `${options.id} ${key}`);
      }
      running.set(key, {
        ref: request.ref,
        truth: options.truth(request.ref),
        startedAt: clock.now(),
        percent: 0,
        isOver: false,
      });
      observer.started(self, request.ref);
      checkRoom();
      return { kind: "started", clockMs: clockMs() };
    },
    stop(request) {
      if (!isUp) return { isConfirmed: false };
      if (request.server.id !== options.id) return { isConfirmed: true };
      if (request.fencingToken < highestToken) return { isConfirmed: false };
      highestToken = request.fencingToken;
      bar(request.ref);
      const run = running.get(keyOfTask(request.ref.task));
      if (run !== undefined && run.ref.run <= request.ref.run) {
        clock.after(options.stopMs / 2, () => end(run, "stopped"));
      }
      return { isConfirmed: true };
    },
    list(request, answer) {
      if (!isUp) return;
      if (request.server.id !== options.id) {
        return answer({ kind: "otherLife" });
      }
      if (request.fencingToken < highestToken) {
        return answer({ kind: "fenced", clockMs: clockMs() });
      }
      highestToken = request.fencingToken;
      extendLease(request.untilMs);
      ends = ends.filter((row) => row.number > request.observed);
      const waiter: Waiter = { request, answer, isDone: false };
      waiters.push(waiter);
      if (ends.length > 0) finishWaiter(waiter);
      else clock.after(request.waitMs, () => finishWaiter(waiter));
    },
    crash() {
      isUp = false;
      for (const run of [...running.values()]) {
        run.isOver = true;
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
  clock.after(STEP_MS, step);
  return self;
}
