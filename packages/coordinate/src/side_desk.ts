/**
 * The sides of an entry: greeted, brought up to the newest table, asked for
 * evidence, and given up when they fall silent.
 */
import type { Hello, SideFrame, SideMessage } from "@coltsfootreach/types";
import type { EntryContext } from "./context.ts";
import { offerOf } from "./departures.ts";
import type { SideState } from "./sides.ts";
import type { TaskDesk } from "./task_desk.ts";

export interface SideDesk {
  take(frame: SideFrame, nowMs: number): void;
  /** Brings every side up to the newest table and asks for evidence. */
  updateAll(): void;
  /** Gives up the sides that have been silent for too long. */
  check(nowMs: number): void;
}

export function createSideDesk(
  context: EntryContext,
  tasks: TaskDesk,
): SideDesk {
  const { me, options, sides, settlement } = context;
  const { connectedPeers, toSide, toPeer } = context;
  /** Table version that was pushed on a side's current stream. */
  const pushedTable = new Map<string, number>();
  /** Version under which a side was asked for evidence on this stream. */
  const collected = new Map<string, number>();

  function greet(hello: Hello, nowMs: number): void {
    const { identity, registration } = hello;
    const { incarnation } = identity;
    const known = { incarnation, registration };
    for (const earlier of sides.earlierRuns(identity)) {
      tasks.endTasksOn(earlier, nowMs);
      forgetSide(earlier);
    }
    settlement.registry.hello(identity.side, known, nowMs);
    const before = sides.find(incarnation);
    const offered = offerOf(before);
    const isNewStream = before?.connected !== true;
    const side = sides.hello(hello, nowMs);
    context.departures.noteSide(offered, side);
    if (settlement.registry.isLostBy(known, me)) askToRegister(side);
    if (!isNewStream) return;
    pushedTable.delete(incarnation);
    collected.delete(incarnation);
    context.configuration.forget(incarnation);
    tasks.resendStarts(side, nowMs);
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
    options.policy.forget(incarnation);
    pushedTable.delete(incarnation);
    collected.delete(incarnation);
    context.configuration.forget(incarnation);
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
        return tasks.takeResult(side, message, nowMs);
      case "refused":
        return tasks.takeRefusal(side, message, nowMs);
      case "evidence":
        return tasks.takeEvidence(side, message, nowMs);
      case "jobSealed":
        return tasks.takeSealed(message.job);
      case "goodbye":
        settlement.registry.goodbye(side.identity.incarnation);
        tasks.endTasksOn(side, nowMs);
        return forgetSide(side);
    }
  }

  /** Brings a side up to the newest table and asks it for evidence. */
  function updateSide(side: SideState): void {
    const { incarnation } = side.identity;
    const table = settlement.table();
    const pushed = pushedTable.get(incarnation) ?? 0;
    if (Math.max(side.tableVersion, pushed) < table.version) {
      pushedTable.set(incarnation, table.version);
      toSide(incarnation, { kind: "table", table });
    }
    context.configuration.updateSide(side);
    const wanted = settlement.collectVersion();
    const given = settlement.registry.evidenceVersionOf(incarnation);
    if (given >= wanted || collected.get(incarnation) === wanted) return;
    if (!side.connected) return;
    collected.set(incarnation, wanted);
    const keptSince = settlement.keptSince();
    toSide(incarnation, { kind: "collect", tableVersion: wanted, keptSince });
  }

  function checkSides(nowMs: number): void {
    for (const side of [...sides.all()]) {
      const silentMs = nowMs - side.lastHeardMs;
      if (!side.lost && silentMs > options.sideLostMs) loseSide(side);
      if (silentMs > options.sideLostMs + options.doubtMs) {
        tasks.endTasksOn(side, nowMs);
        forgetSide(side);
      }
    }
  }

  function loseSide(side: SideState): void {
    sides.lose(side);
    const registration = {
      incarnation: side.identity.incarnation,
      registration: side.registration,
    };
    settlement.registry.lost(registration, me);
    settlement.forgetLost();
    for (const entry of connectedPeers) {
      toPeer(entry, { kind: "sidesLost", sides: [registration] });
    }
  }

  /** What a side repeats for an earlier run of this entry means nothing. */
  function isForMe({ to }: SideFrame, { kind }: SideMessage): boolean {
    return to === undefined || to === me || kind === "goodbye";
  }

  return {
    take(frame, nowMs) {
      const hello = frame.messages.find((one) => one.kind === "hello");
      if (hello?.kind === "hello") greet(hello, nowMs);
      const side = sides.find(frame.incarnation);
      if (side === undefined) return;
      sides.heard(side, frame, nowMs);
      const sinceMs = nowMs - options.sideLostMs;
      settlement.registry.noteAlive(frame.side, frame.incarnation, sinceMs);
      if (side.lost) askToRegister(side);
      for (const message of frame.messages) {
        if (isForMe(frame, message)) handleSide(side, message, nowMs);
      }
      updateSide(side);
    },
    updateAll() {
      for (const side of sides.all()) updateSide(side);
    },
    check: checkSides,
  };
}
