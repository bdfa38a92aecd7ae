/**
 * One job record: what the owner of a job knows of it, from admission until
 * the resubmission window ends.
 */
import type {
  Answer,
  Job,
  JobEvidence,
  JobId,
  JobRecordSnapshot,
  TaskOutcome,
  TaskState,
  Verdict,
} from "@coltsfootreach/types";

export interface JobRecord {
  readonly id: JobId;
  /** Absent while only evidence of the job is known. */
  job: Job | undefined;
  readonly madeAtMs: number;
  deadlineAtMs: number;
  readonly tasks: TaskState[];
  /** Tasks that have not ended. */
  open: number;
  /** Tasks that have neither ended nor been sent. */
  waiting: number;
  answer: Answer | undefined;
  /**
   * True when sides that could not be asked may have started some of the tasks
   * for an earlier owner.
   */
  hasGaps: boolean;
  /** Longest declared run time of its tasks, once it has been asked for. */
  longestMs: number | undefined;
  /** True when a side has noted that the job had ended with its entry. */
  sealed: boolean;
  /** Incarnations of the sides that were sent a task. */
  readonly sides: Set<string>;
}

export function createRecord(
  job: Job,
  id: JobId,
  nowMs: number,
): JobRecord {
  return {
    id,
    job,
    madeAtMs: nowMs,
    deadlineAtMs: nowMs + job.deadlineMs,
    tasks: job.tasks.map(() => ({ kind: "waiting" })),
    open: job.tasks.length,
    waiting: job.tasks.length,
    answer: undefined,
    hasGaps: false,
    sealed: false,
    longestMs: undefined,
    sides: new Set(),
  };
}

/** A record of which only the sides' evidence is known. */
export function createRecordFromEvidence(
  evidence: JobEvidence,
  nowMs: number,
): JobRecord {
  return {
    id: evidence.job,
    job: undefined,
    madeAtMs: nowMs,
    deadlineAtMs: nowMs,
    tasks: Array.from({ length: evidence.of }, () => ({ kind: "waiting" })),
    open: evidence.of,
    waiting: evidence.of,
    answer: undefined,
    hasGaps: false,
    sealed: false,
    longestMs: undefined,
    sides: new Set(),
  };
}

export function snapshotOf(
  record: JobRecord,
  nowMs: number,
): JobRecordSnapshot {
  return {
    id: record.id,
    job: record.job,
    ageMs: nowMs - record.madeAtMs,
    leftMs: record.deadlineAtMs - nowMs,
    tasks: record.tasks,
    answer: record.answer,
  };
}

export function recordFromSnapshot(
  snapshot: JobRecordSnapshot,
  nowMs: number,
): JobRecord {
  const tasks = [...snapshot.tasks];
  return {
    id: snapshot.id,
    job: snapshot.job,
    madeAtMs: nowMs - snapshot.ageMs,
    deadlineAtMs: nowMs + snapshot.leftMs,
    tasks,
    open: tasks.filter((task) => task.kind !== "ended").length,
    waiting: tasks.filter((task) => task.kind === "waiting").length,
    answer: snapshot.answer,
    hasGaps: false,
    sealed: false,
    longestMs: undefined,
    sides: new Set(),
  };
}

/** Moves one task to another state; an ended one stays as it is. */
export function setTask(
  record: JobRecord,
  index: number,
  state: TaskState,
): boolean {
  const before = record.tasks[index];
  if (before === undefined || before.kind === "ended") return false;
  record.tasks[index] = state;
  if (before.kind === "waiting") record.waiting -= 1;
  if (state.kind === "waiting") record.waiting += 1;
  if (state.kind === "ended") record.open -= 1;
  return true;
}

/** Ends one task; false when it had ended before. */
export function endTask(record: JobRecord, outcome: TaskOutcome): boolean {
  return setTask(record, outcome.index, { kind: "ended", outcome });
}

/** Ends every task that waits, with a true `notRun` unless sides are missing. */
export function failWaiting(record: JobRecord, reason: string): void {
  const verdict: Verdict = record.hasGaps ? "mayHaveRun" : "notRun";
  record.tasks.forEach((task, index) => {
    if (task.kind !== "waiting") return;
    endTask(record, { index, state: "failed", verdict, reason });
  });
}

/** Makes the answer of a record whose tasks have all ended. */
export function assembleAnswer(record: JobRecord, nowMs: number): Answer {
  const [tenant, key] = record.id.split("\n") as [string, string];
  const outcomes: TaskOutcome[] = [];
  for (const task of record.tasks) {
    if (task.kind === "ended") outcomes.push(task.outcome);
  }
  const isComplete = outcomes.every((outcome) => outcome.state === "complete");
  return {
    key,
    tenant,
    state: isComplete ? "complete" : "failed",
    late: nowMs > record.deadlineAtMs,
    verdict: verdictOf(outcomes),
    outcomes,
  };
}

function verdictOf(outcomes: readonly TaskOutcome[]): Verdict {
  if (outcomes.some((outcome) => outcome.verdict === "mayHaveRun")) {
    return "mayHaveRun";
  }
  const hasRun = outcomes.some((outcome) => outcome.verdict === "ran");
  return hasRun ? "ran" : "notRun";
}
