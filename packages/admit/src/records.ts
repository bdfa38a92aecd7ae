/**
 * The job records that an entry owns. A submission is admitted once; the same
 * key again is the same submission.
 */
import { isDeepStrictEqual } from "node:util";
import {
  type Answer,
  type Job,
  type JobEvidence,
  type JobId,
  jobId,
  type JobRecordSnapshot,
  type Refusal,
  type TaskOutcome,
  type TaskState,
} from "@coltsfootreach/types";
import { type AgeLimits, refusalForAge } from "./age.ts";
import {
  assembleAnswer,
  createRecord,
  createRecordFromEvidence,
  endTask,
  failWaiting,
  type JobRecord,
  recordFromSnapshot,
  setTask,
  snapshotOf,
} from "./record.ts";

export interface RecordOptions extends AgeLimits {
  /** Most records at once; further submissions are refused. */
  readonly maxRecords: number;
  /** How long after its deadline a started task is waited for. */
  readonly overdueMs: number;
  /** How long a job known by evidence alone waits for its resubmission. */
  readonly orphanMs: number;
}

export type Admission =
  | { readonly kind: "new"; readonly record: JobRecord }
  | { readonly kind: "known"; readonly record: JobRecord }
  | { readonly kind: "refused"; readonly refusal: Refusal };

export interface Submission {
  readonly job: Job;
  /** Time of receipt in Unix milliseconds, for the age of the key. */
  readonly wallMs: number;
}

export interface Records {
  admit(submission: Submission, nowMs: number): Admission;
  find(id: JobId): JobRecord | undefined;
  /** Notes that a task is sent to a side. */
  sent(record: JobRecord, index: number, to: SentTo): void;
  /** Puts a refused task back to waiting; false when the refusal is stale. */
  refused(record: JobRecord, index: number, attempt: number): boolean;
  /** Ends a task; the answer when it was the last one. */
  end(
    record: JobRecord,
    outcome: TaskOutcome,
    nowMs: number,
  ): Answer | undefined;
  /** Ends every waiting task; the answer when nothing is left open. */
  endWaiting(
    record: JobRecord,
    reason: string,
    nowMs: number,
  ): Answer | undefined;
  /** Takes in what a side can prove of a job of an earlier owner. */
  learn(
    evidence: JobEvidence,
    side: string,
    nowMs: number,
  ): JobRecord;
  /** Takes in a record from its earlier owner. */
  take(snapshot: JobRecordSnapshot, nowMs: number): JobRecord;
  /** Gives up a record to its next owner. */
  release(id: JobId, nowMs: number): JobRecordSnapshot | undefined;
  all(): Iterable<JobRecord>;
  /** Records of jobs that have not ended. */
  open(): Iterable<JobRecord>;
  /** Open records whose deadline, or the time after it, has run out. */
  expire(nowMs: number): readonly Expiry[];
  size(): number;
}

export interface SentTo {
  readonly side: string;
  readonly attempt: number;
}

/** What a record's passed time asks for. */
export interface Expiry {
  readonly record: JobRecord;
  /**
   * - `deadline`: waiting tasks must not start any more.
   * - `overdue`: started tasks are not waited for any longer.
   * - `orphan`: nobody resubmitted a job known by evidence alone.
   */
  readonly kind: "deadline" | "overdue" | "orphan";
}

export function createRecords(options: RecordOptions): Records {
  // Insertion order is age order, so expiry stops at the first young record.
  const records = new Map<JobId, JobRecord>();
  const open = new Set<JobRecord>();
  const keepMs = options.windowMs + 2 * options.skewMs;

  function attach(record: JobRecord, job: Job, nowMs: number): Admission {
    if (record.job === undefined) return adoptBody(record, job, nowMs);
    if (isSameSubmission(record.job, job)) return { kind: "known", record };
    return {
      kind: "refused",
      refusal: {
        code: "conflict",
        verdict: "notRun",
        reason: "this key was submitted with other content; this content " +
          "was not run",
      },
    };
  }

  function adoptBody(
    record: JobRecord,
    job: Job,
    nowMs: number,
  ): Admission {
    if (record.answer !== undefined || record.sealed) {
      return { kind: "known", record };
    }
    if (record.tasks.length !== job.tasks.length) {
      return {
        kind: "refused",
        refusal: {
          code: "conflict",
          verdict: "notRun",
          reason: "this key was submitted with another number of tasks",
        },
      };
    }
    record.job = job;
    record.deadlineAtMs = nowMs + job.deadlineMs;
    return { kind: "new", record };
  }

  function close(record: JobRecord, nowMs: number): Answer | undefined {
    if (record.open > 0 || record.answer !== undefined) return undefined;
    record.answer = assembleAnswer(record, nowMs);
    open.delete(record);
    return record.answer;
  }

  function keep(record: JobRecord): JobRecord {
    records.set(record.id, record);
    if (record.answer === undefined) open.add(record);
    return record;
  }

  function dropOld(nowMs: number): void {
    for (const record of records.values()) {
      if (nowMs - record.madeAtMs < keepMs) return;
      if (record.answer === undefined) continue;
      records.delete(record.id);
    }
  }

  function expiryOf(record: JobRecord, nowMs: number): Expiry | undefined {
    if (record.job === undefined) {
      const isOrphan = record.sealed ||
        nowMs - record.madeAtMs > options.orphanMs;
      return isOrphan ? { record, kind: "orphan" } : undefined;
    }
    const overdueMs = nowMs - record.deadlineAtMs;
    if (overdueMs <= 0) return undefined;
    if (overdueMs > options.overdueMs) return { record, kind: "overdue" };
    return { record, kind: "deadline" };
  }

  return {
    admit({ job, wallMs }, nowMs) {
      const id = jobId(job);
      const known = records.get(id);
      if (known !== undefined) return attach(known, job, nowMs);
      const tooOld = refusalForAge(job, options, wallMs);
      if (tooOld !== undefined) return { kind: "refused", refusal: tooOld };
      if (records.size >= options.maxRecords) {
        return { kind: "refused", refusal: recordsFull() };
      }
      return { kind: "new", record: keep(createRecord(job, id, nowMs)) };
    },
    find: (id) => records.get(id),
    sent(record, index, to) {
      setTask(record, index, { kind: "sent", ...to });
      record.sides.add(to.side);
    },
    refused(record, index, attempt) {
      const task = record.tasks[index];
      if (task?.kind !== "sent" || task.attempt !== attempt) return false;
      return setTask(record, index, { kind: "waiting" });
    },
    end(record, outcome, nowMs) {
      return endTask(record, outcome) ? close(record, nowMs) : undefined;
    },
    endWaiting(record, reason, nowMs) {
      failWaiting(record, reason);
      return close(record, nowMs);
    },
    learn(evidence, side, nowMs) {
      const record = records.get(evidence.job) ??
        keep(createRecordFromEvidence(evidence, nowMs));
      for (const task of evidence.tasks) {
        const state = record.tasks[task.index];
        if (state === undefined || state.kind === "ended") continue;
        if (task.outcome !== undefined) {
          endTask(record, task.outcome);
        } else if (task.state === "finished") {
          endTask(record, forgottenResult(task.index));
        } else {
          const { attempt } = task;
          setTask(record, task.index, { kind: "sent", side, attempt });
        }
      }
      record.sides.add(side);
      if (record.job === undefined) record.sealed ||= evidence.sealed;
      close(record, nowMs);
      return record;
    },
    take(snapshot, nowMs) {
      const known = records.get(snapshot.id);
      if (known !== undefined) {
        merge(known, snapshot);
        if (known.answer !== undefined) open.delete(known);
        return known;
      }
      return keep(recordFromSnapshot(snapshot, nowMs));
    },
    release(id, nowMs) {
      const record = records.get(id);
      if (record === undefined) return undefined;
      records.delete(id);
      open.delete(record);
      return snapshotOf(record, nowMs);
    },
    all: () => records.values(),
    open: () => open,
    expire(nowMs) {
      dropOld(nowMs);
      const expiries: Expiry[] = [];
      for (const record of open) {
        const expiry = expiryOf(record, nowMs);
        if (expiry !== undefined) expiries.push(expiry);
      }
      return expiries;
    },
    size: () => records.size,
  };
}

/** Adds what a snapshot knows to a record that evidence made before it. */
function merge(record: JobRecord, snapshot: JobRecordSnapshot): void {
  record.job ??= snapshot.job;
  record.answer ??= snapshot.answer;
  snapshot.tasks.forEach((task, index) => {
    const known: TaskState | undefined = record.tasks[index];
    if (known?.kind !== "waiting" || task.kind === "waiting") return;
    setTask(record, index, task);
  });
}

/** Deadlines may differ between a submission and its resubmission. */
function isSameSubmission(first: Job, second: Job): boolean {
  return first.class === second.class &&
    isDeepStrictEqual(first.tasks, second.tasks);
}

function recordsFull(): Refusal {
  return {
    code: "tooMuchQueued",
    verdict: "notRun",
    reason: "this entry holds as many job records as it may",
    retryAfterMs: 1000,
  };
}

function forgottenResult(index: number): TaskOutcome {
  return {
    index,
    state: "failed",
    verdict: "ran",
    reason: "the task ran but its result is no longer kept",
  };
}
