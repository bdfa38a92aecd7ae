/**
 * The tasks of the jobs that an entry owns: queued, placed on sides, and ended
 * by their results or refusals.
 */
import type { JobRecord } from "@coltsfootreach/admit";
import type { QueuedTask } from "@coltsfootreach/limit";
import { ownerOf } from "@coltsfootreach/ownership";
import type {
  Evidence,
  Start,
  StartRefusal,
  StartRefusalReason,
  TaskResult,
} from "@coltsfootreach/types";
import { type AnswerDesk, createAnswerDesk } from "./answer_desk.ts";
import type { EntryContext } from "./context.ts";
import { createEligibility } from "./eligibility.ts";
import { createFit } from "./fit.ts";
import type { SideState } from "./sides.ts";
import { createTaskEndings, type TaskEndings } from "./task_endings.ts";

export interface TaskDesk extends AnswerDesk, TaskEndings {
  /** Puts the waiting tasks of a record in the queue. */
  enqueue(record: JobRecord, nowMs: number): void;
  /** Places what waits. */
  placeWaiting(nowMs: number): void;
  /** Sends one task to a side, again if it was sent there before. */
  send(record: JobRecord, index: number, to: SendTo): void;
  /** Takes a running or queued job back from the sides. */
  revokeSent(record: JobRecord): void;
  /** A task sent to this side is no longer counted there. */
  release(side: string): void;
  takeResult(side: SideState, message: TaskResult, nowMs: number): void;
  takeRefusal(side: SideState, message: StartRefusal, nowMs: number): void;
  takeEvidence(side: SideState, message: Evidence, nowMs: number): void;
  /** Counts anew the tasks that are with a side. */
  recountOutstanding(side: SideState): void;
  /** Repeats the starts whose fate the last stream left open. */
  resendStarts(side: SideState, nowMs: number): void;
  /** Operators may have taken ejected backend servers in again. */
  followRules(): void;
}

/** Refusals after a try at a backend server; the others are flow control. */
const COSTLY_REFUSALS: readonly StartRefusalReason[] = [
  "connectionRefused",
  "doesNotFit",
];

export interface SendTo {
  readonly side: string;
  /** Time left until the deadline in milliseconds. */
  readonly leftMs: number;
}

export function createTaskDesk(context: EntryContext): TaskDesk {
  const { me, options, records, sides, settlement } = context;
  const { toSide, configuration } = context;
  const { queue, policy, limits } = options;
  const fit = createFit({
    sides: () => sides.all(),
    estate: () => configuration.estate(),
  });
  const answers = createAnswerDesk(context);
  const endings = createTaskEndings(context, answers);
  const eligibility = createEligibility(context);
  const { settle } = answers;
  const { noteGap } = endings;
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
    const waiting: QueuedTask[] = [];
    record.tasks.forEach((task, index) => {
      if (task.kind === "waiting") waiting.push(waitingOf(record, index));
    });
    queue.push(waiting);
  }

  function waitingOf(record: JobRecord, index: number): QueuedTask {
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

  function place(waiting: QueuedTask, nowMs: number): boolean {
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
      usageRatio: limits.usageRatio(job.tenant, nowMs),
      leftMs,
    };
    const found = eligibility.candidates(placing, nowMs);
    const side = policy.choose(placing, found, nowMs);
    if (side === undefined) return false;
    eligibility.noteTrial(sides.find(side)!, nowMs);
    limits.started(placing, nowMs);
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

  function revokeSent(record: JobRecord): void {
    record.tasks.forEach((task, index) => {
      if (task.kind !== "sent") return;
      const { side, attempt } = task;
      const job = record.id;
      toSide(side, { kind: "revoke", job, index, attempt, stop: true });
    });
  }

  function takeResult(
    side: SideState,
    message: TaskResult,
    nowMs: number,
  ): void {
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
    eligibility.judge(side, outcome.state === "failed", nowMs);
    const answer = records.end(record, outcome, nowMs);
    if (answer !== undefined) settle(record, answer, nowMs);
  }

  function release(side: string): void {
    const state = sides.find(side);
    if (state !== undefined && state.outstanding > 0) state.outstanding -= 1;
  }

  /** Why a refused task is not tried again; undefined when it is. */
  function reasonToEnd(
    record: JobRecord,
    reason: StartRefusalReason,
    nowMs: number,
  ): string | undefined {
    if (reason === "revoked") return "cancelled";
    const isLate = reason === "deadlinePassed" || record.deadlineAtMs <= nowMs;
    if (isLate) return "the deadline passed before a slot was free";
    if (!COSTLY_REFUSALS.includes(reason)) return undefined;
    const { tenant } = record.job ?? { tenant: "" };
    if (limits.tryRetry(tenant)) return undefined;
    return "a backend server did not take it and too many tasks are retried";
  }

  function takeRefusal(
    side: SideState,
    message: StartRefusal,
    nowMs: number,
  ): void {
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
    eligibility.cancelTrial(side);
    const why = reasonToEnd(record, reason, nowMs);
    if (why === undefined && record.job !== undefined) {
      queue.requeue(waitingOf(record, index));
      return;
    }
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

  return {
    ...answers,
    ...endings,
    enqueue,
    placeWaiting(nowMs) {
      queue.drain((waiting) => place(waiting, nowMs), nowMs);
    },
    send,
    revokeSent,
    release,
    takeResult,
    takeRefusal,
    takeEvidence,
    recountOutstanding,
    resendStarts,
    followRules: eligibility.followRules,
    expire(nowMs) {
      answers.expire(nowMs);
      endings.expire(nowMs);
    },
  };
}

/** The longest declared run time of a job's tasks, in milliseconds. */
function longestOf(record: JobRecord): number {
  record.longestMs ??= Math.max(
    ...record.job!.tasks.map((task) => task.declaredMs),
  );
  return record.longestMs;
}
