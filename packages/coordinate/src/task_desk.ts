/**
 * The tasks of the jobs that an entry owns: queued, placed on sides, and ended
 * by their results or refusals.
 */
import type { JobRecord } from "@coltsfootreach/admit";
import type { Waiting } from "@coltsfootreach/limit";
import { ownerOf } from "@coltsfootreach/ownership";
import type {
  Answer,
  Evidence,
  JobId,
  Refused,
  Result,
  Start,
} from "@coltsfootreach/types";
import type { EntryContext } from "./context.ts";
import { createCandidates } from "./candidates.ts";
import { createFit } from "./fit.ts";
import { createSeals } from "./seals.ts";
import type { SideState } from "./sides.ts";

export interface TaskDesk {
  /** Puts the waiting tasks of a record in the queue. */
  enqueue(record: JobRecord, nowMs: number): void;
  /** Notes whether tasks of a record may have run without its knowledge. */
  noteGap(record: JobRecord, nowMs: number): void;
  /** Places what waits. */
  placeWaiting(nowMs: number): void;
  /** Sends one task to a side, again if it was sent there before. */
  send(record: JobRecord, index: number, to: SendTo): void;
  /** Takes a running or queued job back from the sides. */
  revokeSent(record: JobRecord): void;
  /**
   * Tells everyone who waits for a job that it has ended, once a side has
   * noted that if some of its tasks were not run.
   */
  settle(record: JobRecord, answer: Answer, nowMs: number): void;
  /** The answer of a job, once it may be given. */
  answerOf(record: JobRecord): Answer | undefined;
  /** A side has noted the end of a job. */
  takeSealed(job: JobId): void;
  /** A task sent to this side is no longer counted there. */
  release(side: string): void;
  takeResult(side: SideState, message: Result, nowMs: number): void;
  takeRefusal(side: SideState, message: Refused, nowMs: number): void;
  takeEvidence(side: SideState, message: Evidence, nowMs: number): void;
  /** Counts anew the tasks that are with a side. */
  recountOutstanding(side: SideState): void;
  /** Repeats the starts whose fate the last stream left open. */
  resendStarts(side: SideState, nowMs: number): void;
  /** Ends the tasks of a side whose word will never come. */
  endTasksOn(side: SideState, nowMs: number): void;
  /** Operators may have taken ejected backend servers in again. */
  followRules(): void;
  /** Ends what has waited or run for too long. */
  expire(nowMs: number): void;
}

export interface SendTo {
  readonly side: string;
  /** Time left until the deadline in milliseconds. */
  readonly leftMs: number;
}

export function createTaskDesk(context: EntryContext): TaskDesk {
  const { me, options, records, sides, settlement, waiters } = context;
  const { toSide, reply, configuration, health } = context;
  const { queue, policy } = options;
  const fit = createFit({
    sides: () => sides.all(),
    estate: () => configuration.estate(),
  });
  const seals = createSeals();
  const candidates = createCandidates({
    sides,
    tableVersion: () => settlement.table().version,
    admits: mayTakeWork,
  });
  let attempts = 0;

  function enqueue(record: JobRecord, nowMs: number): void {
    const { job } = record;
    if (job === undefined) return;
    if (record.hasGaps) {
      const reason = "a side that is gone may have run this task";
      const answer = records.endWaiting(record, reason, nowMs);
      if (answer !== undefined) settle(record, answer, nowMs);
      return;
    }
    const misfit = fit.findMisfit(job, nowMs);
    if (misfit !== undefined) {
      const answer = records.endWaiting(record, misfit, nowMs);
      if (answer !== undefined) settle(record, answer, nowMs);
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
    const placing = {
      class: job.class,
      size: task.size,
      tenant: job.tenant,
      declaredMs: task.declaredMs,
      unplaced: record.waiting,
      longestMs: longestOf(record),
      ageMs: nowMs - record.madeAtMs,
      leftMs,
    };
    const found = candidates.find(placing, nowMs);
    const side = policy.choose(placing, found, nowMs);
    if (side === undefined) return false;
    noteTrial(sides.find(side)!, nowMs);
    send(record, waiting.index, { side, leftMs });
    return true;
  }

  function mayTakeWork(side: SideState, nowMs: number): boolean {
    const { server } = side.announcement!;
    if (configuration.rules().drained.includes(server)) return false;
    if (configuration.isLagging(side, nowMs)) return false;
    return isNeverEjected(server) || health.standing(server, nowMs) !== "out";
  }

  function isNeverEjected(server: string): boolean {
    return configuration.rules().neverEjected.includes(server);
  }

  function followRules(): void {
    for (const server of health.ejected()) {
      if (!isNeverEjected(server)) continue;
      health.readmit(server);
      context.undone({ kind: "eject", subject: server, figures: {} });
    }
    candidates.changed();
  }

  /** A side on probation gets one task, whose outcome decides. */
  function noteTrial(side: SideState, nowMs: number): void {
    const { server } = side.announcement!;
    if (health.standing(server, nowMs) === "trial") {
      health.startTrial(server, nowMs);
      candidates.changed();
    }
  }

  function judge(side: SideState, failed: boolean, nowMs: number): void {
    const server = side.announcement?.server;
    if (server === undefined || isNeverEjected(server)) return;
    const act = health.observe({ side: server, failed }, nowMs);
    if (act === undefined) return;
    context.act(act);
    candidates.changed();
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

  function revokeSent(record: JobRecord): void {
    record.tasks.forEach((task, index) => {
      if (task.kind !== "sent") return;
      const { side, attempt } = task;
      const job = record.id;
      toSide(side, { kind: "revoke", job, index, attempt, stop: true });
    });
  }

  function settle(record: JobRecord, answer: Answer, nowMs: number): void {
    const hasNotRun = answer.outcomes.some((one) => one.verdict === "notRun");
    const side = hasNotRun ? findNotary(record) : undefined;
    if (side === undefined) {
      announce(record, answer);
      return;
    }
    seals.add({ record, answer }, nowMs);
    const of = record.tasks.length;
    toSide(side, { kind: "sealJob", job: record.id, of });
  }

  /** A connected side, if possible one that ran some of the job. */
  function findNotary(record: JobRecord): string | undefined {
    for (const side of record.sides) {
      if (isUsable(sides.find(side))) return side;
    }
    for (const side of sides.all()) {
      if (isUsable(side)) return side.identity.incarnation;
    }
    return undefined;
  }

  function takeSealed(job: JobId): void {
    const sealed = seals.take(job);
    if (sealed !== undefined) announce(sealed.record, sealed.answer);
  }

  /** Tells everyone who waits for a job that it has ended. */
  function announce(record: JobRecord, answer: Answer): void {
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
    judge(side, outcome.state === "failed", nowMs);
    const answer = records.end(record, outcome, nowMs);
    if (answer !== undefined) settle(record, answer, nowMs);
  }

  function release(side: string): void {
    const state = sides.find(side);
    if (state !== undefined && state.outstanding > 0) state.outstanding -= 1;
  }

  function takeRefusal(side: SideState, message: Refused, nowMs: number): void {
    const record = records.find(message.job);
    if (record === undefined) return;
    const { index, attempt, reason } = message;
    const task = record.tasks[index];
    const isHere = task?.kind === "sent" &&
      task.side === side.identity.incarnation;
    if (!isHere) return;
    if (!records.refused(record, index, attempt)) return;
    release(side.identity.incarnation);
    sides.refused(side, reason, nowMs);
    const server = side.announcement?.server;
    if (server !== undefined) health.cancelTrial(server);
    const isOver = reason === "revoked" || reason === "deadlinePassed" ||
      record.deadlineAtMs <= nowMs;
    if (!isOver && record.job !== undefined) {
      queue.putBack(waitingOf(record, index));
      return;
    }
    const why = reason === "revoked"
      ? "cancelled"
      : "the deadline passed before a slot was free";
    noteGap(record, nowMs);
    const verdict = record.hasGaps ? "mayHaveRun" : "notRun";
    const answer = records.end(
      record,
      { index, state: "failed", verdict, reason: why },
      nowMs,
    );
    if (answer !== undefined) settle(record, answer, nowMs);
  }

  function takeEvidence(
    side: SideState,
    message: Evidence,
    nowMs: number,
  ): void {
    const incarnation = side.identity.incarnation;
    settlement.registry.evidence(incarnation, message.tableVersion);
    let hasLearned = false;
    for (const evidence of message.jobs) {
      if (ownerOf(settlement.table(), evidence.job)?.incarnation !== me) {
        continue;
      }
      const before = records.find(evidence.job)?.answer;
      const record = records.learn(evidence, incarnation, nowMs);
      hasLearned = true;
      if (before === undefined && record.answer !== undefined) {
        settle(record, record.answer, nowMs);
      }
    }
    if (hasLearned) recountOutstanding(side);
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
        if (answer !== undefined) settle(record, answer, nowMs);
      });
    }
  }

  function expire(nowMs: number): void {
    for (const { record, answer } of seals.takeOverdue(nowMs)) {
      announce(record, answer);
    }
    for (const { record, kind } of records.expire(nowMs)) {
      if (kind === "overdue") {
        endOverdue(record, nowMs);
        continue;
      }
      // What has not started can be told only when all evidence is there.
      if (!settlement.isSettled(record.id)) continue;
      queue.removeJob(record.id);
      noteGap(record, nowMs);
      const reason = kind === "deadline"
        ? "the deadline passed before a slot was free"
        : "the job ended with its entry, or nobody resubmitted it";
      const answer = records.endWaiting(record, reason, nowMs);
      if (answer !== undefined) settle(record, answer, nowMs);
      else endUnheard(record, nowMs);
    }
  }

  /** Ends what was sent to runs of sides that are over for every entry. */
  function endUnheard(record: JobRecord, nowMs: number): void {
    record.tasks.forEach((task, index) => {
      if (task.kind !== "sent" || sides.find(task.side) !== undefined) return;
      if (settlement.registry.isKnown(task.side)) return;
      const answer = records.end(record, {
        index,
        state: "failed",
        verdict: "mayHaveRun",
        reason: "the side that was sent this task is gone",
      }, nowMs);
      if (answer !== undefined) settle(record, answer, nowMs);
    });
  }

  /**
   * An entry whose lease may have lapsed may have a successor that starts its
   * tasks. Of a job known by evidence alone, sides that are gone may know more.
   */
  function noteGap(record: JobRecord, nowMs: number): void {
    const isOrphan = record.job === undefined;
    record.hasGaps ||= nowMs > context.membership.certainUntilMs ||
      isOrphan && settlement.isInGap(record.id, undefined);
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
      if (answer !== undefined) settle(record, answer, nowMs);
    });
  }

  return {
    noteGap,
    enqueue,
    placeWaiting(nowMs) {
      queue.drain((waiting) => place(waiting, nowMs), nowMs);
    },
    send,
    revokeSent,
    settle,
    answerOf: (record) => seals.has(record.id) ? undefined : record.answer,
    takeSealed,
    release,
    takeResult,
    takeRefusal,
    takeEvidence,
    recountOutstanding,
    resendStarts,
    endTasksOn,
    followRules,
    expire,
  };
}

function isUsable(side: SideState | undefined): boolean {
  return side !== undefined && side.connected && !side.lost && !side.draining;
}

/** The longest declared run time of a job's tasks, in milliseconds. */
function longestOf(record: JobRecord): number {
  record.longestMs ??= Math.max(
    ...record.job!.tasks.map((task) => task.declaredMs),
  );
  return record.longestMs;
}
