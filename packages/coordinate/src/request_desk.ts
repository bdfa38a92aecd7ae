/**
 * Callers' requests: served here when this entry owns the job, forwarded to its
 * owner, or held until a takeover has settled.
 */
import { birthOf, type JobRecord } from "@coltsfootreach/admit";
import { ownerOf } from "@coltsfootreach/ownership";
import type { Job, JobId, Refusal, Reply } from "@coltsfootreach/types";
import type { EntryContext } from "./context.ts";
import type { Ask, Forward, Held, Origin } from "./requests.ts";
import type { TaskDesk } from "./task_desk.ts";

export interface RequestDesk {
  /** Takes in a request of a caller or of another entry. */
  route(request: Held): void;
  /** Waits for the owner of a job to answer a request made here. */
  forward(request: Held, owner: string | undefined): void;
  /** Routes again what was held. */
  routeHeld(): void;
  /** Sends again what its owner has not taken or can no longer answer. */
  resendForwards(nowMs: number): void;
  /** What was sent to this entry must be sent again. */
  unsendTo(entry: string): void;
  /** The entry does not own the job of this request. */
  notOwner(entry: string, request: number): void;
  /** The owner has replied. */
  answered(request: number, answer: Reply): void;
  abandon(request: number): void;
  /** Answers requests that no owner has answered long after their deadline. */
  expire(nowMs: number): void;
  isIdle(): boolean;
}

export function createRequestDesk(
  context: EntryContext,
  tasks: TaskDesk,
): RequestDesk {
  const { me, options, records, settlement, waiters } = context;
  const { connectedPeers, toPeer, reply, refuse } = context;
  const forwards = new Map<number, Forward>();
  let held: Held[] = [];

  function route(held: Held): void {
    const owner = ownerOf(settlement.table(), held.job)?.incarnation;
    if (owner === me) {
      serve(held);
    } else if (held.origin.kind === "local") {
      forward(held, owner);
    } else {
      const { entry, request } = held.origin;
      toPeer(entry, { kind: "notOwner", request });
    }
  }

  function forward(held: Held, owner: string | undefined): void {
    const { request } = held.origin;
    const { job, ask, receivedAtMs } = held;
    const entry: Forward = {
      request,
      job,
      ask,
      receivedAtMs,
      sentTo: undefined,
    };
    forwards.set(request, entry);
    if (owner !== undefined) sendForward(entry, owner, receivedAtMs);
  }

  function sendForward(entry: Forward, owner: string, nowMs: number): void {
    if (!connectedPeers.has(owner)) return;
    entry.sentTo = owner;
    const { request, job, ask } = entry;
    if (ask.kind !== "submit") {
      toPeer(owner, { kind: ask.kind, request, job });
      return;
    }
    const spentMs = nowMs - entry.receivedAtMs;
    const deadlineMs = ask.job.deadlineMs - spentMs;
    const { wait } = ask;
    const sent = { ...ask.job, deadlineMs };
    toPeer(owner, { kind: "submit", request, job: sent, wait });
  }

  /** Sends again what its owner has not taken or can no longer answer. */
  function resendForwards(nowMs: number): void {
    for (const entry of forwards.values()) {
      const owner = ownerOf(settlement.table(), entry.job)?.incarnation;
      if (owner === undefined || owner === entry.sentTo) continue;
      if (owner !== me) {
        sendForward(entry, owner, nowMs);
        continue;
      }
      forwards.delete(entry.request);
      serve({ ...entry, origin: { kind: "local", request: entry.request } });
    }
  }

  function serve(request: Held): void {
    if (!settlement.isSettled(request.job)) {
      hold(request);
      return;
    }
    const { origin, job, ask, receivedAtMs } = request;
    if (ask.kind === "submit") submit(request, ask);
    else if (ask.kind === "read") read(origin, job);
    else cancel(origin, job, receivedAtMs);
  }

  function hold(request: Held): void {
    if (held.length < options.maxHeld) {
      held.push(request);
      return;
    }
    refuse(request.origin, undecided("too many requests wait for a takeover"));
  }

  function submit(
    request: Held,
    ask: Extract<Ask, { kind: "submit" }>,
  ): void {
    const { origin, job: id, receivedAtMs: nowMs } = request;
    const { job } = ask;
    const wallMs = options.wallMs();
    const isInGap = settlement.isInGap(id, birthOf(job));
    const known = records.find(id);
    const admission = records.admit({ job, wallMs }, nowMs);
    if (admission.kind === "refused") {
      noteRefusal(job, admission.refusal, nowMs);
      const { refusal } = admission;
      const isDoubtful = known === undefined && isInGap;
      const verdict = isDoubtful ? "mayHaveRun" : refusal.verdict;
      refuse(origin, { ...refusal, verdict });
      return;
    }
    const { record } = admission;
    if (admission.kind === "new") {
      record.hasGaps = isInGap;
      tasks.enqueue(record, nowMs);
    }
    const answer = tasks.answerOf(record);
    if (answer !== undefined) {
      reply(origin, { kind: "answered", answer });
    } else if (ask.wait) {
      waiters.add(id, origin);
    } else {
      reply(origin, pendingOf(record));
    }
  }

  function noteRefusal(job: Job, refusal: Refusal, nowMs: number): void {
    const { tenant, tasks } = job;
    const count = { tasks: tasks.length, records: records.size() };
    context.shedding.refused({ tenant, refusal, ...count }, nowMs);
  }

  function read(origin: Origin, job: JobId): void {
    const record = records.find(job);
    if (record === undefined) {
      refuse(origin, unknownJob());
      return;
    }
    const answer = tasks.answerOf(record);
    if (answer !== undefined) {
      reply(origin, { kind: "answered", answer });
    } else {
      reply(origin, pendingOf(record));
    }
  }

  function cancel(origin: Origin, job: JobId, nowMs: number): void {
    const record = records.find(job);
    if (record === undefined) {
      refuse(origin, unknownJob());
      return;
    }
    options.queue.removeJob(job);
    tasks.noteGap(record, nowMs);
    const ended = records.endWaiting(record, "cancelled", nowMs);
    tasks.revokeSent(record);
    const answer = ended === undefined ? tasks.answerOf(record) : undefined;
    if (answer === undefined) waiters.add(job, origin);
    else reply(origin, { kind: "answered", answer });
    if (ended !== undefined) tasks.settle(record, ended, nowMs);
  }

  function routeHeld(): void {
    const waiting = held;
    held = [];
    waiting.forEach(route);
  }

  /** Answers requests that no owner has answered long after their deadline. */
  function expireRequests(nowMs: number): void {
    const isOver = ({ ask, receivedAtMs }: Held | Forward): boolean => {
      const allowedMs = ask.kind === "submit" ? ask.job.deadlineMs : 0;
      return nowMs - receivedAtMs > allowedMs + options.records.overdueMs;
    };
    const refusal = undecided("its owner did not answer in time");
    for (const entry of forwards.values()) {
      if (!isOver(entry)) continue;
      forwards.delete(entry.request);
      refuse({ kind: "local", request: entry.request }, refusal);
    }
    const over = held.filter(isOver);
    if (over.length === 0) return;
    held = held.filter((request) => !isOver(request));
    over.forEach((request) => refuse(request.origin, refusal));
  }

  return {
    route,
    forward,
    routeHeld,
    resendForwards,
    unsendTo(entry) {
      for (const forwarded of forwards.values()) {
        if (forwarded.sentTo === entry) forwarded.sentTo = undefined;
      }
    },
    notOwner(entry, request) {
      const forwarded = forwards.get(request);
      if (forwarded?.sentTo === entry) forwarded.sentTo = undefined;
    },
    answered(request, answer) {
      if (!forwards.delete(request)) return;
      reply({ kind: "local", request }, answer);
    },
    abandon(request) {
      forwards.delete(request);
    },
    expire: expireRequests,
    isIdle: () => forwards.size === 0 && held.length === 0,
  };
}

function pendingOf(record: JobRecord): Reply {
  const of = record.tasks.length;
  return { kind: "pending", done: of - record.open, of };
}

function undecided(reason: string): Refusal {
  return {
    code: "undecided",
    verdict: "mayHaveRun",
    reason: `whether this job has run cannot be told now: ${reason}`,
    retryAfterMs: 1000,
  };
}

function unknownJob(): Refusal {
  return {
    code: "unknownJob",
    verdict: "mayHaveRun",
    reason: "no job is known under this key; it may have been forgotten",
  };
}
