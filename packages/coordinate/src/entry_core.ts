/**
 * The state machine of an entry. Each event returns the messages to send; the
 * tasks around it own sockets and timers.
 */
import {
  birthOf,
  createRecords,
  type JobRecord,
  type Records,
} from "@coltsfootreach/admit";
import type { Waiting } from "@coltsfootreach/limit";
import { ownerOf } from "@coltsfootreach/ownership";
import { createSettlement, type Settlement } from "@coltsfootreach/takeover";
import {
  type Answer,
  type EntryMessage,
  type Evidence,
  type HandOver,
  type Hello,
  type JobId,
  jobId,
  type PeerFrame,
  type PeerMessage,
  type RecordSnapshot,
  type Refusal,
  type Refused,
  type Reply,
  type Result,
  type SideFrame,
  type SideMessage,
  type Start,
  type Table,
} from "@coltsfootreach/types";
import type { EntryEffect, EntryOptions } from "./effect.ts";
import {
  type Ask,
  createWaiters,
  type Forward,
  type Held,
  type Origin,
} from "./requests.ts";
import { createOutgoing } from "./outgoing.ts";
import { createSides, type Sides, type SideState } from "./sides.ts";

/** Pause before a request that was not taken is forwarded again. */
const FORWARD_PAUSE_MS = 20;

export interface Request {
  /** Chosen by the caller of the core; names the reply. */
  readonly request: number;
  readonly job: JobId;
  readonly ask: Ask;
}

/** A table read from the store, and when the read began. */
export interface TableRead {
  readonly table: Table;
  /** The value that `beginTableRead` returned before the read. */
  readonly token: TableReadToken;
}

/** Newest stamp of each side when a read of the store began. */
export type TableReadToken = ReadonlyMap<string, number>;

export interface EntryCore {
  request(request: Request, nowMs: number): readonly EntryEffect[];
  /** The caller has gone; its request needs no reply. */
  abandon(request: number): void;
  sideFrame(frame: SideFrame, nowMs: number): readonly EntryEffect[];
  sideClosed(incarnation: string): void;
  peerUp(entry: string, nowMs: number): readonly EntryEffect[];
  peerDown(entry: string): void;
  peerFrame(frame: PeerFrame, nowMs: number): readonly EntryEffect[];
  beginTableRead(): TableReadToken;
  tableRead(read: TableRead, nowMs: number): readonly EntryEffect[];
  tableLearned(table: Table, nowMs: number): readonly EntryEffect[];
  /** Places what waits; called once after each batch of events. */
  dispatch(nowMs: number): readonly EntryEffect[];
  tick(now: { nowMs: number; wallMs: number }): readonly EntryEffect[];
  table(): Table;
  /** The freshness stamps for the next frame to a side. */
  stamps(side: string): SideStamps;
  /** True when nothing of a caller or of a job is left here. */
  isIdle(): boolean;
  readonly records: Records;
  readonly sides: Sides;
  readonly settlement: Settlement;
}

export interface SideStamps {
  readonly echoedStampMs: number;
  readonly readStampMs: number;
}

export function createEntryCore(options: EntryOptions): EntryCore {
  const me = options.member.incarnation;
  const records = createRecords(options.records);
  const sides = createSides();
  const waiters = createWaiters();
  const settlement = createSettlement({
    me,
    freshnessMs: options.freshnessMs,
    windowMs: options.records.windowMs,
  });
  const { queue, policy } = options;
  const forwards = new Map<number, Forward>();
  let held: Held[] = [];
  const connectedPeers = new Set<string>();
  /** Table versions pushed on the current stream of a side or peer. */
  const pushedTable = new Map<string, number>();
  const collected = new Map<string, number>();
  const handedOver = new Map<string, number>();
  const outgoing = createOutgoing();
  let attempts = 0;
  let wasMember = false;
  let effects: EntryEffect[] = [];

  function flush(): readonly EntryEffect[] {
    const out = effects;
    effects = [];
    return out;
  }

  function toSide(side: string, message: EntryMessage, lazy = false): void {
    effects.push({ kind: "toSide", side, message, lazy });
  }

  function toPeer(entry: string, message: PeerMessage): void {
    effects.push({ kind: "toPeer", entry, message });
  }

  function reply(origin: Origin, answer: Reply): void {
    const { request } = origin;
    if (origin.kind === "local") {
      effects.push({ kind: "reply", request, reply: answer });
    } else {
      toPeer(origin.entry, { kind: "reply", request, reply: answer });
    }
  }

  function refuse(origin: Origin, refusal: Refusal): void {
    reply(origin, { kind: "refused", refusal });
  }

  // ---- requests ----------------------------------------------------------

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
    toPeer(owner, { kind: "submit", request, job: { ...ask.job, deadlineMs } });
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
    if (known === undefined && isInGap) {
      refuse(origin, undecided("a side that is gone may have run this job"));
      return;
    }
    const admission = records.admit({ job, wallMs }, nowMs);
    if (admission.kind === "refused") {
      refuse(origin, admission.refusal);
      return;
    }
    const { record } = admission;
    if (admission.kind === "new") {
      record.hasGaps = isInGap;
      enqueue(record, nowMs);
    }
    if (record.answer !== undefined) {
      reply(origin, { kind: "answered", answer: record.answer });
    } else {
      waiters.add(id, origin);
    }
  }

  function read(origin: Origin, job: JobId): void {
    const record = records.find(job);
    if (record === undefined) {
      refuse(origin, unknownJob());
    } else if (record.answer !== undefined) {
      reply(origin, { kind: "answered", answer: record.answer });
    } else {
      const of = record.tasks.length;
      reply(origin, { kind: "pending", done: of - record.open, of });
    }
  }

  function cancel(origin: Origin, job: JobId, nowMs: number): void {
    const record = records.find(job);
    if (record === undefined) {
      refuse(origin, unknownJob());
      return;
    }
    queue.removeJob(job);
    const answer = records.endWaiting(record, "cancelled", nowMs);
    revokeSent(record);
    if (record.answer === undefined) waiters.add(job, origin);
    else reply(origin, { kind: "answered", answer: record.answer });
    if (answer !== undefined) settle(record, answer);
  }

  function revokeSent(record: JobRecord): void {
    record.tasks.forEach((task, index) => {
      if (task.kind !== "sent") return;
      const { side, attempt } = task;
      const job = record.id;
      toSide(side, { kind: "revoke", job, index, attempt, stop: true });
    });
  }

  // ---- tasks -------------------------------------------------------------

  function enqueue(record: JobRecord, nowMs: number): void {
    const { job } = record;
    if (job === undefined) return;
    if (record.hasGaps) {
      const reason = "a side that is gone may have run this task";
      const answer = records.endWaiting(record, reason, nowMs);
      if (answer !== undefined) settle(record, answer);
      return;
    }
    const waiting: Waiting[] = [];
    record.tasks.forEach((task, index) => {
      if (task.kind === "waiting") waiting.push(waitingOf(record, index));
    });
    queue.push(waiting);
  }

  function waitingOf(record: JobRecord, index: number): Waiting {
    const job = record.job!;
    return {
      job: record.id,
      index,
      tenant: job.tenant,
      class: job.class,
      deadlineAtMs: record.deadlineAtMs,
      declaredMs: job.tasks[index]!.declaredMs,
    };
  }

  function place(waiting: Waiting, nowMs: number): boolean {
    const record = records.find(waiting.job);
    const task = record?.job?.tasks[waiting.index];
    const state = record?.tasks[waiting.index];
    if (record === undefined || task === undefined) return true;
    if (state?.kind !== "waiting") return true;
    const job = record.job!;
    const leftMs = record.deadlineAtMs - nowMs;
    const need = {
      class: job.class,
      size: task.size,
      tableVersion: settlement.table().version,
    };
    const placing = {
      ...need,
      tenant: job.tenant,
      declaredMs: task.declaredMs,
      unplaced: record.open,
      leftMs,
    };
    const candidates = sides.candidates(need, nowMs);
    const side = policy.choose(placing, candidates, nowMs);
    if (side === undefined) return false;
    send(record, waiting.index, { side, leftMs });
    return true;
  }

  function send(
    record: JobRecord,
    index: number,
    to: { side: string; leftMs: number },
  ): void {
    const task = record.job!.tasks[index]!;
    attempts += 1;
    records.sent(record, index, { side: to.side, attempt: attempts });
    sides.find(to.side)!.outstanding += 1;
    toSide(
      to.side,
      {
        kind: "start",
        job: record.id,
        index,
        attempt: attempts,
        of: record.tasks.length,
        class: record.job!.class,
        body: task.body,
        size: task.size,
        declaredMs: task.declaredMs,
        leftMs: to.leftMs,
      } satisfies Start,
    );
  }

  function settle(record: JobRecord, answer: Answer): void {
    for (const origin of waiters.take(record.id)) {
      reply(origin, { kind: "answered", answer });
    }
    for (const side of record.sides) {
      toSide(side, { kind: "closeJob", job: record.id }, true);
    }
  }

  function takeResult(side: SideState, message: Result, nowMs: number): void {
    const record = records.find(message.job);
    if (record === undefined) return;
    const { outcome } = message;
    const state = record.tasks[outcome.index];
    if (state?.kind !== "sent") return;
    release(state.side);
    policy.observe({
      side: side.identity.incarnation,
      class: record.job?.class ?? "",
      declaredMs: record.job?.tasks[outcome.index]?.declaredMs ?? 0,
      runMs: outcome.runMs,
      failed: outcome.state === "failed",
    }, nowMs);
    const answer = records.end(record, outcome, nowMs);
    if (answer !== undefined) settle(record, answer);
  }

  function release(side: string): void {
    const state = sides.find(side);
    if (state !== undefined && state.outstanding > 0) state.outstanding -= 1;
  }

  function takeRefusal(side: SideState, message: Refused, nowMs: number): void {
    const record = records.find(message.job);
    if (record === undefined) return;
    const { index, attempt, reason } = message;
    if (!records.refused(record, index, attempt)) return;
    release(side.identity.incarnation);
    sides.refused(side, reason, nowMs);
    const isOver = reason === "revoked" || reason === "deadlinePassed" ||
      record.deadlineAtMs <= nowMs;
    if (!isOver && record.job !== undefined) {
      queue.putBack(waitingOf(record, index));
      return;
    }
    const why = reason === "revoked"
      ? "cancelled"
      : "the deadline passed before a slot was free";
    const answer = records.end(
      record,
      { index, state: "failed", verdict: "notRun", reason: why },
      nowMs,
    );
    if (answer !== undefined) settle(record, answer);
  }

  function takeEvidence(
    side: SideState,
    message: Evidence,
    nowMs: number,
  ): void {
    const incarnation = side.identity.incarnation;
    settlement.registry.evidence(incarnation, message.tableVersion);
    for (const evidence of message.jobs) {
      if (ownerOf(settlement.table(), evidence.job)?.incarnation !== me) {
        continue;
      }
      const before = records.find(evidence.job)?.answer;
      const record = records.learn(evidence, incarnation, nowMs);
      recountOutstanding(side);
      if (before === undefined && record.answer !== undefined) {
        settle(record, record.answer);
      }
    }
  }

  function recountOutstanding(side: SideState): void {
    const incarnation = side.identity.incarnation;
    let outstanding = 0;
    for (const record of records.open()) {
      for (const task of record.tasks) {
        const isHere = task.kind === "sent" && task.side === incarnation;
        if (isHere) outstanding += 1;
      }
    }
    side.outstanding = outstanding;
  }

  // ---- sides -------------------------------------------------------------

  function greet(hello: Hello, nowMs: number): void {
    const { identity, registration } = hello;
    const { incarnation } = identity;
    const known = { incarnation, registration };
    for (const earlier of sides.earlierRuns(identity)) {
      endTasksOn(earlier, nowMs);
      forgetSide(earlier);
    }
    settlement.registry.hello(identity.side, known);
    const isNewStream = sides.find(incarnation)?.connected !== true;
    const side = sides.hello(hello, nowMs);
    if (settlement.registry.isLostBy(known, me)) askToRegister(side);
    if (!isNewStream) return;
    pushedTable.delete(incarnation);
    collected.delete(incarnation);
    resendStarts(side, nowMs);
  }

  /** Repeats the starts whose fate the last stream left open. */
  function resendStarts(side: SideState, nowMs: number): void {
    const incarnation = side.identity.incarnation;
    for (const record of records.open()) {
      if (record.job === undefined) continue;
      const leftMs = record.deadlineAtMs - nowMs;
      record.tasks.forEach((task, index) => {
        if (task.kind !== "sent" || task.side !== incarnation) return;
        side.outstanding -= 1;
        send(record, index, { side: incarnation, leftMs });
      });
    }
    recountOutstanding(side);
  }

  /** Ends the tasks of a side whose word will never come. */
  function endTasksOn(side: SideState, nowMs: number): void {
    const incarnation = side.identity.incarnation;
    for (const record of [...records.open()]) {
      record.tasks.forEach((task, index) => {
        if (task.kind !== "sent" || task.side !== incarnation) return;
        const answer = records.end(record, {
          index,
          state: "failed",
          verdict: "mayHaveRun",
          reason: "the side that was sent this task is gone",
          server: side.announcement?.server,
        }, nowMs);
        if (answer !== undefined) settle(record, answer);
      });
    }
  }

  /** A lost side that is heard again must register with everyone anew. */
  function askToRegister(side: SideState): void {
    const { registration } = side;
    const message = { kind: "registrationLost", registration } as const;
    toSide(side.identity.incarnation, message);
  }

  function forgetSide(side: SideState): void {
    const { incarnation } = side.identity;
    sides.remove(incarnation);
    policy.forget(incarnation);
    pushedTable.delete(incarnation);
    collected.delete(incarnation);
  }

  function handleSide(
    side: SideState,
    message: SideMessage,
    nowMs: number,
  ): void {
    switch (message.kind) {
      case "hello":
        return;
      case "result":
        return takeResult(side, message, nowMs);
      case "refused":
        return takeRefusal(side, message, nowMs);
      case "evidence":
        return takeEvidence(side, message, nowMs);
      case "goodbye":
        settlement.registry.goodbye(side.identity.incarnation);
        endTasksOn(side, nowMs);
        return forgetSide(side);
    }
  }

  function pushTable(target: string, follows: number): boolean {
    const table = settlement.table();
    const pushed = Math.max(follows, pushedTable.get(target) ?? 0);
    if (pushed >= table.version) return false;
    pushedTable.set(target, table.version);
    return true;
  }

  /** Brings a side up to the newest table and asks it for evidence. */
  function updateSide(side: SideState): void {
    const { incarnation } = side.identity;
    const table = settlement.table();
    if (pushTable(incarnation, side.tableVersion)) {
      toSide(incarnation, { kind: "table", table });
    }
    const wanted = settlement.collectVersion();
    const given = settlement.registry.evidenceVersionOf(incarnation);
    if (given >= wanted || collected.get(incarnation) === wanted) return;
    if (!side.connected) return;
    collected.set(incarnation, wanted);
    toSide(incarnation, { kind: "collect", tableVersion: wanted });
  }

  function checkSides(nowMs: number): void {
    for (const side of [...sides.all()]) {
      const silentMs = nowMs - side.lastHeardMs;
      if (!side.lost && silentMs > options.sideLostMs) loseSide(side);
      if (silentMs > options.sideLostMs + options.doubtMs) {
        endTasksOn(side, nowMs);
        forgetSide(side);
      }
    }
  }

  function loseSide(side: SideState): void {
    side.lost = true;
    const registration = {
      incarnation: side.identity.incarnation,
      registration: side.registration,
    };
    settlement.registry.lost(registration, me);
    settlement.registry.forgetLost(settlement.table());
    for (const entry of connectedPeers) {
      toPeer(entry, { kind: "sidesLost", sides: [registration] });
    }
  }

  // ---- tables, takeover and hand-over -------------------------------------

  function adopt(table: Table, nowMs: number): void {
    if (table.version <= settlement.table().version) return;
    const isMember = table.members.some((member) => member.incarnation === me);
    if (!isMember) {
      if (wasMember) effects.push({ kind: "removed" });
      return;
    }
    wasMember = true;
    noteRemovals(table);
    settlement.adopt(table, nowMs);
    takeBackOutgoing(nowMs);
    releaseMoved(nowMs);
    for (const side of sides.all()) updateSide(side);
    for (const entry of connectedPeers) updatePeer(entry, 0);
    routeHeld();
    resendForwards(nowMs);
  }

  function noteRemovals(table: Table): void {
    const present = new Set(table.members.map((one) => one.incarnation));
    for (const member of settlement.table().members) {
      if (present.has(member.incarnation)) continue;
      waiters.dropPeer(member.incarnation);
      for (const entry of forwards.values()) {
        if (entry.sentTo === member.incarnation) entry.sentTo = undefined;
      }
    }
  }

  /** Records for an owner that went before it took them come back. */
  function takeBackOutgoing(nowMs: number): void {
    const members = settlement.table().members;
    const present = new Set(members.map((member) => member.incarnation));
    for (const snapshot of outgoing.takeBack(present)) {
      takeRecord(snapshot, nowMs);
    }
  }

  /** Gives up the records that now belong to another entry. */
  function releaseMoved(nowMs: number): void {
    const moved: JobRecord[] = [];
    for (const record of records.all()) {
      const owner = ownerOf(settlement.table(), record.id);
      if (owner !== undefined && owner.incarnation !== me) moved.push(record);
    }
    for (const record of moved) releaseRecord(record, nowMs);
  }

  function releaseRecord(record: JobRecord, nowMs: number): void {
    queue.removeJob(record.id);
    for (const task of record.tasks) {
      if (task.kind === "sent") release(task.side);
    }
    const snapshot = records.release(record.id, nowMs)!;
    sendRecord(snapshot);
    for (const origin of waiters.take(record.id)) {
      if (origin.kind === "peer") {
        const { entry, request } = origin;
        toPeer(entry, { kind: "notOwner", request });
        continue;
      }
      const ask: Ask = snapshot.job === undefined
        ? { kind: "read" }
        : { kind: "submit", job: snapshot.job };
      const receivedAtMs = record.madeAtMs;
      forward({ origin, job: record.id, ask, receivedAtMs }, undefined);
    }
  }

  function sendRecord(snapshot: RecordSnapshot): void {
    const owner = ownerOf(settlement.table(), snapshot.id)?.incarnation;
    if (owner !== undefined) outgoing.add(owner, snapshot);
  }

  function takeRecord(snapshot: RecordSnapshot, nowMs: number): void {
    if (ownerOf(settlement.table(), snapshot.id)?.incarnation !== me) {
      sendRecord(snapshot);
      return;
    }
    const known = records.find(snapshot.id);
    const isRepeated = known?.job !== undefined;
    const hadAnswer = known?.answer !== undefined;
    const record = records.take(snapshot, nowMs);
    if (record.answer !== undefined) {
      if (!hadAnswer) settle(record, record.answer);
      return;
    }
    if (isRepeated) return;
    const leftMs = record.deadlineAtMs - nowMs;
    record.tasks.forEach((task, index) => {
      if (task.kind !== "sent" || record.job === undefined) return;
      // Tells the side who gets the result, and starts what never arrived.
      if (sides.find(task.side)?.connected) {
        send(record, index, { side: task.side, leftMs });
      }
    });
    enqueue(record, nowMs);
  }

  function updatePeer(entry: string, follows: number): void {
    if (pushTable(entry, follows)) {
      toPeer(entry, { kind: "table", table: settlement.table() });
    }
    const version = settlement.handOverVersion();
    const batch = outgoing.nextBatch(entry);
    if (handedOver.get(entry) === version && batch.records.length === 0) return;
    handedOver.set(entry, version);
    toPeer(entry, {
      kind: "handOver",
      batch: batch.number,
      tableVersion: version,
      records: batch.records,
      sides: settlement.registry.registrations(),
    });
  }

  function takeHandOver(
    entry: string,
    message: HandOver,
    nowMs: number,
  ): void {
    for (const side of message.sides) settlement.registry.hearOf(side);
    for (const snapshot of message.records) takeRecord(snapshot, nowMs);
    settlement.handedOver(entry, message.tableVersion);
    toPeer(entry, { kind: "handOverTaken", batch: message.batch });
  }

  function routeHeld(): void {
    const waiting = held;
    held = [];
    waiting.forEach(route);
  }

  // ---- peers -------------------------------------------------------------

  function handlePeer(
    entry: string,
    message: PeerMessage,
    nowMs: number,
  ): void {
    const receivedAtMs = nowMs;
    switch (message.kind) {
      case "submit":
      case "read":
      case "cancel": {
        const { request } = message;
        const origin: Origin = { kind: "peer", entry, request };
        const ask: Ask = message.kind === "submit"
          ? { kind: "submit", job: message.job }
          : { kind: message.kind };
        const job = message.kind === "submit"
          ? jobId(message.job)
          : message.job;
        return route({ origin, job, ask, receivedAtMs });
      }
      case "reply":
        if (!forwards.delete(message.request)) return;
        effects.push(message);
        return;
      case "notOwner": {
        const forwarded = forwards.get(message.request);
        if (forwarded?.sentTo === entry) forwarded.sentTo = undefined;
        return;
      }
      case "handOver":
        return takeHandOver(entry, message, nowMs);
      case "handOverTaken":
        return outgoing.taken(entry, message.batch);
      case "sidesLost":
        for (const side of message.sides) {
          settlement.registry.lost(side, entry);
        }
        return settlement.registry.forgetLost(settlement.table());
      case "table":
        return adopt(message.table, nowMs);
      case "configuration":
        return;
    }
  }

  // ---- time --------------------------------------------------------------

  function expire(nowMs: number): void {
    for (const { record, kind } of records.expire(nowMs)) {
      if (kind === "overdue") {
        endOverdue(record, nowMs);
        continue;
      }
      queue.removeJob(record.id);
      const reason = kind === "deadline"
        ? "the deadline passed before a slot was free"
        : "its entry was lost and nobody resubmitted the job";
      const answer = records.endWaiting(record, reason, nowMs);
      if (answer !== undefined) settle(record, answer);
    }
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

  function endOverdue(record: JobRecord, nowMs: number): void {
    record.tasks.forEach((task, index) => {
      if (task.kind === "ended") return;
      const answer = records.end(record, {
        index,
        state: "failed",
        verdict: "mayHaveRun",
        reason: "no word of this task came long after the deadline",
      }, nowMs);
      if (answer !== undefined) settle(record, answer);
    });
  }

  let lastForwardAtMs = 0;

  return {
    request({ request, job, ask }, nowMs) {
      route({
        origin: { kind: "local", request },
        job,
        ask,
        receivedAtMs: nowMs,
      });
      return flush();
    },
    abandon(request) {
      forwards.delete(request);
    },
    sideFrame(frame, nowMs) {
      const hello = frame.messages.find((one) => one.kind === "hello");
      if (hello?.kind === "hello") greet(hello, nowMs);
      const side = sides.find(frame.incarnation);
      if (side === undefined) return flush();
      sides.heard(side, frame, nowMs);
      if (side.lost) askToRegister(side);
      for (const message of frame.messages) handleSide(side, message, nowMs);
      updateSide(side);
      return flush();
    },
    sideClosed(incarnation) {
      sides.closed(incarnation);
    },
    peerUp(entry, nowMs) {
      connectedPeers.add(entry);
      pushedTable.delete(entry);
      handedOver.delete(entry);
      outgoing.repeat(entry);
      for (const forwarded of forwards.values()) {
        if (forwarded.sentTo === entry) forwarded.sentTo = undefined;
      }
      updatePeer(entry, 0);
      resendForwards(nowMs);
      return flush();
    },
    peerDown(entry) {
      connectedPeers.delete(entry);
    },
    peerFrame(frame, nowMs) {
      const { entry } = frame;
      for (const message of frame.messages) handlePeer(entry, message, nowMs);
      settlement.follows(entry, frame.tableVersion);
      updatePeer(entry, frame.tableVersion);
      return flush();
    },
    beginTableRead() {
      const stamps = new Map<string, number>();
      for (const side of sides.all()) {
        stamps.set(side.identity.incarnation, side.stampMs);
      }
      return stamps;
    },
    tableRead({ table, token }, nowMs) {
      adopt(table, nowMs);
      if (table.version !== settlement.table().version) return flush();
      for (const [incarnation, stampMs] of token) {
        const side = sides.find(incarnation);
        if (side !== undefined) side.readStampMs = stampMs;
      }
      return flush();
    },
    tableLearned(table, nowMs) {
      adopt(table, nowMs);
      return flush();
    },
    dispatch(nowMs) {
      queue.drain((waiting) => place(waiting, nowMs), nowMs);
      return flush();
    },
    tick({ nowMs, wallMs }) {
      checkSides(nowMs);
      if (settlement.tick({ nowMs, wallMs })) routeHeld();
      for (const side of sides.all()) updateSide(side);
      for (const entry of connectedPeers) {
        updatePeer(entry, settlement.table().version);
      }
      if (nowMs - lastForwardAtMs >= FORWARD_PAUSE_MS) {
        lastForwardAtMs = nowMs;
        resendForwards(nowMs);
      }
      expire(nowMs);
      expireRequests(nowMs);
      return flush();
    },
    table: () => settlement.table(),
    stamps(incarnation) {
      const side = sides.find(incarnation);
      return {
        echoedStampMs: side?.stampMs ?? -1,
        readStampMs: side?.readStampMs ?? -1,
      };
    },
    isIdle() {
      const hasOpen = [...records.open()].length > 0;
      return forwards.size === 0 && held.length === 0 && !hasOpen &&
        outgoing.isEmpty();
    },
    records,
    sides,
    settlement,
  };
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
    verdict: "notRun",
    reason: "no job is known under this key",
  };
}
