/**
 * Judges what callers were told against what the backend servers did. It knows
 * every start from the servers' side.
 */
import type {
  Answer,
  Job,
  JobId,
  Reply,
  TaskOutcome,
} from "@coltsfootreach/types";
import { bodyOf, type StartLog } from "./server.ts";

export type Property =
  | "no task starts twice"
  | "notRun stays true"
  | "every job ends"
  | "an answer is whole and its own"
  | "late answers are marked"
  | "table versions never go back";

export interface Violation {
  readonly property: Property;
  readonly detail: string;
  readonly atMs: number;
}

/** A reply and the request that it answers. */
export interface Replied {
  readonly id: JobId;
  readonly job: Job | undefined;
  readonly reply: Reply;
  readonly askedAtMs: number;
}

export interface Checker {
  /** A caller submits a job, perhaps again, knowing what it was told before. */
  submitted(job: JobId): void;
  started(job: JobId, index: number): void;
  replied(replied: Replied): void;
  tableSeen(process: string, version: number): void;
  unended(job: JobId, where: string): void;
  violations(): readonly Violation[];
}

/** Time that a reply may spend on its way, in milliseconds. */
const REPLY_SLACK_MS = 200;

export function createChecker(
  options: { log: StartLog; nowMs(): number },
): Checker {
  const { log } = options;
  const violations: Violation[] = [];
  /** Tasks of which a caller was told `notRun` and has not asked again. */
  const saidNotRun = new Map<JobId, Set<number>>();
  const versions = new Map<string, number>();

  function report(property: Property, detail: string): void {
    violations.push({ property, detail, atMs: options.nowMs() });
  }

  function noteNotRun(id: JobId, index: number): void {
    const known = saidNotRun.get(id);
    if (known === undefined) saidNotRun.set(id, new Set([index]));
    else known.add(index);
  }

  function checkOutcome(replied: Replied, outcome: TaskOutcome): void {
    const { id } = replied;
    const { index, verdict, state, body } = outcome;
    const starts = log.startsOf(id, index);
    const task = `task ${index} of ${shown(id)}`;
    if (verdict === "notRun") {
      noteNotRun(id, index);
      if (starts.length > 0) {
        report("notRun stays true", `${task} was started on ${starts}`);
      }
    }
    if (verdict === "ran" && starts.length === 0) {
      report("an answer is whole and its own", `${task} never ran`);
    }
    if (state === "complete" && body !== bodyOf(id, index)) {
      report("an answer is whole and its own", `${task} got "${body}"`);
    }
  }

  function checkAnswer(replied: Replied, answer: Answer): void {
    const { id, job, askedAtMs } = replied;
    if (`${answer.tenant}\n${answer.key}` !== id) {
      report("an answer is whole and its own", `${shown(id)} got another's`);
    }
    const indices = answer.outcomes.map((outcome) => outcome.index).join();
    const expected = job?.tasks.map((_, index) => index).join() ?? indices;
    if (indices !== expected) {
      report("an answer is whole and its own", `${shown(id)}: [${indices}]`);
    }
    for (const outcome of answer.outcomes) checkOutcome(replied, outcome);
    if (job === undefined) return;
    const spentMs = options.nowMs() - askedAtMs;
    if (spentMs > job.deadlineMs + REPLY_SLACK_MS && !answer.late) {
      report("late answers are marked", `${shown(id)} after ${spentMs} ms`);
    }
  }

  function checkRefusal(id: JobId, of: number): void {
    for (let index = 0; index < of; index++) {
      const starts = log.startsOf(id, index);
      if (starts.length === 0) continue;
      const detail = `refused, yet task ${index} of ${shown(id)} ran`;
      report("notRun stays true", detail);
    }
  }

  return {
    submitted(job) {
      saidNotRun.delete(job);
    },
    started(job, index) {
      const task = `task ${index} of ${shown(job)}`;
      const starts = log.startsOf(job, index);
      if (starts.length > 1) {
        report("no task starts twice", `${task} on ${starts.join(" and ")}`);
      }
      if (saidNotRun.get(job)?.has(index)) {
        report("notRun stays true", `${task} started after the answer`);
      }
    },
    replied(replied) {
      const { reply, id, job } = replied;
      if (reply.kind === "answered") checkAnswer(replied, reply.answer);
      const isNotRun = reply.kind === "refused" &&
        reply.refusal.verdict === "notRun" && reply.refusal.code !== "conflict";
      if (isNotRun) checkRefusal(id, job?.tasks.length ?? 0);
    },
    tableSeen(process, version) {
      const known = versions.get(process) ?? 0;
      if (version < known) {
        const detail = `${process} went from ${known} to ${version}`;
        report("table versions never go back", detail);
      }
      versions.set(process, Math.max(known, version));
    },
    unended(job, where) {
      report("every job ends", `${shown(job)} has no answer ${where}`);
    },
    violations: () => violations,
  };
}

function shown(job: JobId): string {
  return job.split("\n")[1]!;
}
