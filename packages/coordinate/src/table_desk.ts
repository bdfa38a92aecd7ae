/**
 * The table of entries as this entry follows it, and the records that change
 * hands with it.
 */
import { birthOf, type JobRecord } from "@coltsfootreach/admit";
import type { ConfigurationSource } from "@coltsfootreach/configure";
import { ownerOf } from "@coltsfootreach/ownership";
import {
  type Configuration,
  type HandOver,
  type JobId,
  jobId,
  type JobRecordSnapshot,
  type PeerFrame,
  type PeerMessage,
  type Registration,
  type RegistrationEnd,
  type Table,
} from "@coltsfootreach/types";
import type { EntryContext } from "./context.ts";
import type { RequestDesk } from "./request_desk.ts";
import type { Ask, Origin } from "./requests.ts";
import type { SideDesk } from "./side_desk.ts";
import type { TaskDesk } from "./task_desk.ts";

export interface TableDesk {
  /** Takes in a version of the configuration. */
  learn(
    configuration: Configuration,
    source: ConfigurationSource,
    nowMs: number,
  ): void;
  adopt(table: Table, nowMs: number): void;
  peerUp(entry: string, nowMs: number): void;
  takePeerFrame(frame: PeerFrame, nowMs: number): void;
  /** Tells every entry what it has not been told. */
  updateAll(nowMs: number): void;
  /** Goes on with the records for which this entry may act by now. */
  resumeSettled(nowMs: number): void;
}

export interface Desks {
  readonly requests: RequestDesk;
  readonly sides: SideDesk;
  readonly tasks: TaskDesk;
}

export function createTableDesk(
  context: EntryContext,
  desks: Desks,
): TableDesk {
  const { me, options, records, sides, settlement, waiters } = context;
  const { outgoing, connectedPeers, configuration, toPeer } = context;
  const { requests, tasks } = desks;
  const { queue } = options;
  /** Table version that was pushed on the current stream to an entry. */
  const pushedTable = new Map<string, number>();
  /** Table version for which all records were handed over, by entry. */
  const handedOver = new Map<string, number>();
  /** Jobs whose records came before this entry may act for them. */
  const unsettled = new Set<JobId>();
  /** Endings of sides that were told on the current stream, by entry. */
  const toldEndings = new Map<string, readonly Registration[]>();
  let wasMember = false;

  function adopt(table: Table, nowMs: number): void {
    if (table.version <= settlement.table().version) return;
    const isMember = table.members.some((member) => member.incarnation === me);
    if (!isMember) {
      if (wasMember) context.emit({ kind: "removed" });
      return;
    }
    wasMember = true;
    noteRemovals(table);
    settlement.adopt(table, nowMs);
    takeBackOutgoing(nowMs);
    releaseMoved(nowMs);
    desks.sides.updateAll();
    for (const entry of connectedPeers) updatePeer(entry, 0, nowMs);
    requests.routeHeld();
    requests.resendForwards(nowMs);
  }

  function noteRemovals(table: Table): void {
    context.departures.noteTable(settlement.table(), table);
    const present = new Set(table.members.map((one) => one.incarnation));
    for (const member of settlement.table().members) {
      if (present.has(member.incarnation)) continue;
      waiters.dropPeer(member.incarnation);
      options.limits.forgetEntry(member.incarnation);
      requests.unsendTo(member.incarnation);
    }
  }

  /** Records that nobody has taken and that now belong to another entry. */
  function takeBackOutgoing(nowMs: number): void {
    const isOwner = (entry: string, job: JobId) => ownerIn(job) === entry;
    for (const snapshot of outgoing.takeBack(isOwner)) {
      takeRecord(snapshot, nowMs);
    }
  }

  function ownerIn(job: JobId): string | undefined {
    return ownerOf(settlement.table(), job)?.incarnation;
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
      if (task.kind === "sent") tasks.release(task.side);
    }
    const snapshot = records.release(record.id, nowMs)!;
    outgoing.add(ownerIn(record.id)!, snapshot);
    for (const origin of waiters.take(record.id)) {
      if (origin.kind === "peer") {
        const { entry, request } = origin;
        toPeer(entry, { kind: "notOwner", request });
        continue;
      }
      const ask: Ask = snapshot.job === undefined
        ? { kind: "read" }
        : { kind: "submit", job: snapshot.job, wait: true };
      const receivedAtMs = record.madeAtMs;
      requests.forward(
        { origin, job: record.id, ask, receivedAtMs },
        undefined,
      );
    }
  }

  /** Takes in a record here, or passes it on to its owner. */
  function takeRecord(snapshot: JobRecordSnapshot, nowMs: number): void {
    const owner = ownerIn(snapshot.id);
    if (owner !== undefined && owner !== me) {
      outgoing.add(owner, snapshot);
      return;
    }
    const hadAnswer = records.find(snapshot.id)?.answer !== undefined;
    const record = records.take(snapshot, nowMs);
    if (record.answer === undefined) resume(record, nowMs);
    else if (!hadAnswer) tasks.settle(record, record.answer, nowMs);
  }

  /** Goes on with a record that came from another entry. */
  function resume(record: JobRecord, nowMs: number): void {
    if (!settlement.isSettled(record.id)) {
      // A newer record of this job may still be on its way.
      unsettled.add(record.id);
      return;
    }
    if (record.job === undefined || record.answer !== undefined) return;
    // Its sender may have taken it back from an owner that went on with it.
    const birth = birthOf(record.job);
    record.hasGaps ||= settlement.isInGap(record.id, birth);
    const leftMs = record.deadlineAtMs - nowMs;
    record.tasks.forEach((task, index) => {
      if (task.kind !== "sent") return;
      // Tells the side who gets the result, and starts what never arrived.
      if (sides.find(task.side)?.connected) {
        tasks.send(record, index, { side: task.side, leftMs });
      }
    });
    queue.removeJob(record.id);
    tasks.enqueue(record, nowMs);
  }

  function resumeSettled(nowMs: number): void {
    const waiting = [...unsettled];
    unsettled.clear();
    for (const id of waiting) {
      const record = records.find(id);
      if (record !== undefined) resume(record, nowMs);
    }
  }

  function updatePeer(entry: string, follows: number, nowMs: number): void {
    const table = settlement.table();
    const pushed = pushedTable.get(entry) ?? 0;
    if (Math.max(follows, pushed) < table.version) {
      pushedTable.set(entry, table.version);
      toPeer(entry, { kind: "table", table });
    }
    const version = settlement.handOverVersion();
    const batch = outgoing.nextBatch(entry);
    const endings = settlement.registry.endings();
    const isTold = handedOver.get(entry) === version &&
      toldEndings.get(entry) === endings;
    if (isTold && batch.records.length === 0) return;
    handedOver.set(entry, version);
    toldEndings.set(entry, endings);
    toPeer(entry, {
      kind: "handOver",
      batch: batch.number,
      tableVersion: version,
      records: batch.records,
      sides: settlement.registry.registrations(),
      endedSides: settlement.registry.endings(),
      sideEnding: sideEnding(nowMs),
      doubt: settlement.doubt(nowMs),
    });
  }

  function sideEnding(nowMs: number): RegistrationEnd | undefined {
    const ending = settlement.registry.lastEnding();
    if (ending === undefined) return undefined;
    return { wallMs: ending.wallMs, ageMs: nowMs - ending.nowMs };
  }

  function takeHandOver(
    entry: string,
    message: HandOver,
    nowMs: number,
  ): void {
    const { tableVersion, sideEnding, doubt, batch } = message;
    for (const side of message.sides) settlement.registry.hearOf(side, nowMs);
    message.endedSides.forEach(settlement.registry.endedElsewhere);
    if (sideEnding !== undefined) {
      const { wallMs, ageMs } = sideEnding;
      settlement.registry.hearOfEnding({ wallMs, nowMs: nowMs - ageMs });
    }
    // What moved on belongs to its sender until that follows the newer table.
    const own = message.records.filter((one) => ownerIn(one.id) === me);
    for (const snapshot of own) takeRecord(snapshot, nowMs);
    settlement.handedOver({ entry, tableVersion, doubt }, nowMs);
    if (own.length === message.records.length) {
      toPeer(entry, { kind: "handOverTaken", batch });
    }
  }

  function learn(
    next: Configuration,
    source: ConfigurationSource,
    nowMs: number,
  ): void {
    if (configuration.take(next, source, nowMs) !== "newer") return;
    tasks.followRules();
    const gone = new Set(configuration.rules().gone);
    settlement.declareGone(gone);
    const isPresent = settlement.table().members.some((member) =>
      gone.has(member.incarnation)
    );
    if (isPresent) context.emit({ kind: "removeMembers", incarnations: gone });
  }

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
          ? { kind: "submit", job: message.job, wait: message.wait }
          : { kind: message.kind };
        const job = message.kind === "submit"
          ? jobId(message.job)
          : message.job;
        return requests.route({ origin, job, ask, receivedAtMs });
      }
      case "reply":
        return requests.answered(message.request, message.reply);
      case "notOwner":
        return requests.notOwner(entry, message.request);
      case "handOver":
        return takeHandOver(entry, message, nowMs);
      case "handOverTaken":
        return outgoing.taken(entry, message.batch);
      case "sidesLost":
        for (const side of message.sides) {
          settlement.registry.lost(side, entry);
        }
        return settlement.forgetLost();
      case "table":
        return adopt(message.table, nowMs);
      case "configuration":
        return learn(message.configuration, "peer", nowMs);
    }
  }

  return {
    adopt,
    peerUp(entry, nowMs) {
      connectedPeers.add(entry);
      pushedTable.delete(entry);
      handedOver.delete(entry);
      outgoing.repeat(entry);
      requests.unsendTo(entry);
      configuration.forget(entry);
      updatePeer(entry, 0, nowMs);
      configuration.updatePeer(entry, 0);
      requests.resendForwards(nowMs);
    },
    takePeerFrame(frame, nowMs) {
      const { entry, tableVersion } = frame;
      for (const message of frame.messages) handlePeer(entry, message, nowMs);
      settlement.follows(entry, tableVersion);
      options.limits.hear(entry, frame.demands ?? [], nowMs);
      updatePeer(entry, tableVersion, nowMs);
      configuration.updatePeer(entry, frame.configurationVersion);
    },
    learn,
    updateAll(nowMs) {
      const { version } = settlement.table();
      for (const entry of connectedPeers) updatePeer(entry, version, nowMs);
    },
    resumeSettled,
  };
}
