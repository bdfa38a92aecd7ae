/**
 * The evidence a side keeps of every start. While evidence of a task exists the
 * task cannot start again here, whoever asks.
 */
import type {
  JobEvidence,
  JobId,
  Start,
  TaskEvidence,
  TaskOutcome,
} from "@coltsfootreach/types";

/** A start that waits for a slot. */
export interface QueuedStart {
  readonly record: JobRecord;
  start: Start;
  queuedAtMs: number;
}

export type TaskRecord =
  | { readonly state: "queued"; readonly queued: QueuedStart }
  | { readonly state: "running"; readonly attempt: number }
  | { readonly state: "finished"; readonly outcome: TaskOutcome | undefined };

export interface JobRecord {
  readonly job: JobId;
  readonly of: number;
  /** The entry that started it last, and that gets its results. */
  sender: string;
  /** The side's table when the sender was noted. */
  senderVersion: number;
  readonly startedAtMs: number;
  /** True once the owner has said that the job has ended. */
  sealed: boolean;
  readonly tasks: Map<number, TaskRecord>;
}

export interface EvidenceOptions {
  /** How long evidence of a start is kept after the job's first start. */
  readonly keepEvidenceMs: number;
  /** How long results of an ended job are kept. */
  readonly keepResultsMs: number;
  /** Most jobs with evidence. */
  readonly maxJobs: number;
}

export interface EvidenceTable {
  find(job: JobId): JobRecord | undefined;
  /** The record of a job, made if absent; undefined when the table is full. */
  open(
    job: Pick<Start, "job" | "of">,
    sender: string,
    nowMs: number,
  ): JobRecord | undefined;
  jobs(): Iterable<JobRecord>;
  /** The job has ended; its results are kept for a while only. */
  close(job: JobId, nowMs: number): void;
  /** Drops results and evidence whose time has passed. */
  expire(nowMs: number): void;
  size(): number;
}

export function createEvidenceTable(options: EvidenceOptions): EvidenceTable {
  // Insertion order is age order, so expiry stops at the first young record.
  const records = new Map<JobId, JobRecord>();
  const closedAtMs = new Map<JobRecord, number>();

  function dropResults(nowMs: number): void {
    for (const [record, closedAt] of closedAtMs) {
      if (nowMs - closedAt < options.keepResultsMs) return;
      closedAtMs.delete(record);
      for (const [index, task] of record.tasks) {
        if (task.state !== "finished") continue;
        record.tasks.set(index, { state: "finished", outcome: undefined });
      }
    }
  }

  function dropEvidence(nowMs: number): void {
    for (const record of records.values()) {
      if (nowMs - record.startedAtMs < options.keepEvidenceMs) return;
      if (hasUnfinished(record)) continue;
      records.delete(record.job);
      closedAtMs.delete(record);
    }
  }

  return {
    find: (job) => records.get(job),
    open({ job, of }, sender, nowMs) {
      const known = records.get(job);
      if (known !== undefined) return known;
      if (records.size >= options.maxJobs) return undefined;
      const record: JobRecord = {
        job,
        of,
        sender,
        senderVersion: 0,
        startedAtMs: nowMs,
        sealed: false,
        tasks: new Map(),
      };
      records.set(job, record);
      return record;
    },
    jobs: () => records.values(),
    close(job, nowMs) {
      const record = records.get(job);
      if (record === undefined || closedAtMs.has(record)) return;
      closedAtMs.set(record, nowMs);
    },
    expire(nowMs) {
      dropResults(nowMs);
      dropEvidence(nowMs);
    },
    size: () => records.size,
  };
}

/** What the side can prove of a job's tasks; queued ones have not started. */
export function evidenceOf(record: JobRecord): JobEvidence {
  const tasks: TaskEvidence[] = [];
  for (const [index, task] of record.tasks) {
    if (task.state === "queued") continue;
    const { state } = task;
    const outcome = state === "finished" ? task.outcome : undefined;
    const attempt = state === "running" ? task.attempt : 0;
    tasks.push({ index, state, attempt, outcome });
  }
  const { job, of, sealed } = record;
  return { job, of, sealed, tasks };
}

function hasUnfinished(record: JobRecord): boolean {
  for (const task of record.tasks.values()) {
    if (task.state !== "finished") return true;
  }
  return false;
}
