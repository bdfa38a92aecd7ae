/**
 * Holds what callers got, and what the backend servers saw, to the promises.
 */
import type { Answer, Refusal } from "@coltsfootreach/types";
import type { PlannedJob } from "./workload.ts";

/** One request and what became of it: one of the last three. */
export interface Attempt {
  readonly url: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly answer?: Answer | undefined;
  readonly refusal?: Refusal | undefined;
  readonly lost?: string | undefined;
}

/** One caller's way to the answer of a job. */
export interface Copy {
  readonly job: PlannedJob;
  readonly attempts: readonly Attempt[];
}

/** Everything that was asked about one job. */
export interface JobTrace {
  readonly job: PlannedJob;
  readonly copies: readonly Copy[];
  readonly cancels: readonly Attempt[];
}

/** Where each task was started, by its id; one place for each start. */
export type Starts = ReadonlyMap<string, readonly StartedAt[]>;

export interface StartedAt {
  /** Place of the backend server among all. */
  readonly side: number;
  /** On the clock of this process, in milliseconds. */
  readonly atMs: number;
}

export const PROMISES = [
  "doubleStarts",
  "jobsWithoutEnd",
  "falseNotRun",
  "wrongAnswers",
  "unmarkedLate",
] as const;

export type Broken = (typeof PROMISES)[number];

export interface Finding {
  readonly promise: Broken;
  readonly job: string;
  readonly detail: string;
}

export interface Verdicts {
  readonly findings: readonly Finding[];
  readonly jobs: number;
  readonly tasks: number;
  readonly complete: number;
  readonly failed: number;
  readonly mayHaveRun: number;
  readonly refused: number;
  /** Connections lost and replies that an entry could not decide. */
  readonly lost: number;
  readonly undecided: number;
}

export interface CheckOptions {
  readonly starts: Starts;
  /** What an answer may take from the entry to the check, in milliseconds. */
  readonly lateMarginMs: number;
}

export function check(
  traces: readonly JobTrace[],
  options: CheckOptions,
): Verdicts {
  const findings = traces.flatMap((trace) => checkJob(trace, options));
  const known = new Set(traces.flatMap(({ job }) => taskIds(job)));
  for (const [id, starts] of options.starts) {
    const job = nameOf(id);
    if (starts.length > 1) {
      const detail = `task ${indexOf(id)} started at ${JSON.stringify(starts)}`;
      findings.push({ promise: "doubleStarts", job, detail });
    }
    if (!known.has(id)) {
      const detail = "a task that nobody submitted started";
      findings.push({ promise: "wrongAnswers", job, detail });
    }
  }
  const answers = traces.map((trace) => answersOf(trace)[0]);
  const attempts = traces.flatMap((trace) =>
    trace.copies.flatMap((copy) => copy.attempts)
  );
  return {
    findings,
    jobs: traces.length,
    tasks: traces.reduce((sum, { job }) => sum + job.tasks.length, 0),
    complete: count(answers, (answer) => answer?.state === "complete"),
    failed: count(answers, (answer) => answer?.state === "failed"),
    mayHaveRun: count(answers, (answer) => answer?.verdict === "mayHaveRun"),
    refused: count(
      traces,
      (trace) => answersOf(trace).length === 0 && isEnded(trace),
    ),
    lost: count(attempts, (attempt) => attempt.lost !== undefined),
    undecided: count(
      attempts,
      (attempt) => attempt.refusal?.code === "undecided",
    ),
  };
}

function checkJob(trace: JobTrace, options: CheckOptions): Finding[] {
  const { job } = trace;
  const findings: Finding[] = [];
  const find = (promise: Broken, detail: string) =>
    findings.push({ promise, job: job.key, detail });

  for (const copy of trace.copies) {
    if (!isCopyEnded(copy)) find("jobsWithoutEnd", lastOf(copy));
  }
  for (const answer of answersOf(trace)) {
    const wrong = wrongIn(answer, job, options.starts);
    if (wrong !== undefined) find("wrongAnswers", wrong);
    for (const { index, verdict } of answer.outcomes) {
      const hasStarted = options.starts.has(taskId(job, index));
      if (verdict !== "notRun" || !hasStarted) continue;
      find("falseNotRun", `outcome of task ${index}`);
    }
  }
  for (const attempt of attemptsOf(trace)) {
    const { refusal } = attempt;
    if (refusal?.verdict !== "notRun") continue;
    const isFalse = taskIds(job)
      .flatMap((id) => options.starts.get(id) ?? [])
      .some((start) => !isAskedAnew(trace, attempt, start));
    if (isFalse) find("falseNotRun", `refusal ${refusal.code}`);
  }
  for (const attempt of trace.copies.flatMap((copy) => copy.attempts)) {
    const { answer } = attempt;
    if (answer === undefined || answer.late) continue;
    const overMs = attempt.endedAtMs - attempt.sentAtMs - job.deadlineMs;
    if (overMs <= options.lateMarginMs) continue;
    find("unmarkedLate", `${Math.round(overMs)} ms over the deadline`);
  }
  return findings;
}

/** Why an answer is not the whole answer to its own job; undefined if it is. */
function wrongIn(
  answer: Answer,
  job: PlannedJob,
  starts: Starts,
): string | undefined {
  if (answer.key !== job.key || answer.tenant !== job.tenant) {
    return `answer of ${answer.tenant}/${answer.key}`;
  }
  if (answer.outcomes.length !== job.tasks.length) {
    return `${answer.outcomes.length} outcomes of ${job.tasks.length}`;
  }
  for (const [index, task] of job.tasks.entries()) {
    const outcome = answer.outcomes[index]!;
    if (outcome.index !== index) return `outcome ${outcome.index} at ${index}`;
    if (outcome.verdict === "ran" && !starts.has(taskId(job, index))) {
      return `task ${index} is said to have run`;
    }
    const isComplete = outcome.state === "complete";
    if (isComplete && outcome.verdict !== "ran") {
      return `task ${index} is complete but ${outcome.verdict}`;
    }
    if (isComplete && outcome.body !== task.echo) {
      return `task ${index} has the body ${outcome.body}`;
    }
  }
  const isWhole = answer.outcomes.every((one) => one.state === "complete");
  return isWhole === (answer.state === "complete")
    ? undefined
    : `the state is ${answer.state}`;
}

function answersOf(trace: JobTrace): Answer[] {
  return attemptsOf(trace).flatMap(({ answer }) => answer ?? []);
}

/**
 * True when the job was submitted again after its caller had been told that it
 * was not run, and before this start of one of its tasks.
 */
function isAskedAnew(
  trace: JobTrace,
  told: Attempt,
  start: StartedAt,
): boolean {
  return trace.copies.flatMap((copy) => copy.attempts).some((attempt) =>
    attempt.sentAtMs >= told.endedAtMs && attempt.sentAtMs <= start.atMs
  );
}

function attemptsOf(trace: JobTrace): Attempt[] {
  const submitted = trace.copies.flatMap((copy) => copy.attempts);
  return [...submitted, ...trace.cancels];
}

function isEnded(trace: JobTrace): boolean {
  return trace.copies.every(isCopyEnded);
}

/** Ended by an answer, or by a refusal that needs no second try. */
function isCopyEnded(copy: Copy): boolean {
  const last = copy.attempts.at(-1);
  if (last?.answer !== undefined) return true;
  return last?.refusal !== undefined && last.refusal.code !== "undecided" &&
    last.refusal.code !== "draining";
}

function lastOf(copy: Copy): string {
  const last = copy.attempts.at(-1);
  if (last === undefined) return "no entry was ready";
  return last.lost ?? `${last.refusal?.code}: ${last.refusal?.reason}`;
}

export function taskId(job: PlannedJob, index: number): string {
  return `${job.tenant}\n${job.key}\n${index}`;
}

function taskIds(job: PlannedJob): string[] {
  return job.tasks.map((_, index) => taskId(job, index));
}

function nameOf(id: string): string {
  return id.split("\n")[1] ?? id;
}

function indexOf(id: string): string {
  return id.split("\n")[2] ?? "";
}

function count<T>(all: readonly T[], isMeant: (one: T) => boolean): number {
  return all.filter(isMeant).length;
}
