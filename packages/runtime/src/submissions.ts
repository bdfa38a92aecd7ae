/**
 * Callers' submissions on their way to the dispatcher. A job is handed on only
 * after its caller's connection was read once more: a process that was paused
 * reads the job of a caller that has left before it reads that the caller left,
 * and by then the caller may have submitted the job to another entry.
 */
import type {
  Answer,
  Submission,
  SubmissionId,
} from "@coltsfootreach/dispatch";
import type { Job, Queue } from "@coltsfootreach/run";
import type { EntryMetrics } from "./entry_metrics.ts";
import { monotonicNowMs } from "./loop.ts";

/** The answer to a submitted job. */
export interface PendingAnswer {
  /** Never resolves if the job was abandoned. */
  readonly answer: Promise<Answer>;
  /** Called when the caller has disconnected. */
  abandon(): void;
}

export interface Submissions {
  submit(queue: Queue, job: Job): PendingAnswer;
  answered(id: SubmissionId, answer: Answer): void;
}

/** How long the caller has already waited, as far as the entry can tell. */
export type CallerAge = Pick<Submission, "ageMs" | "maxAgeMs">;

export interface SubmissionsOptions {
  readonly metrics: EntryMetrics;
  configurationVersion(): number;
  callerAge(queue: Queue, job: Job): CallerAge;
  submit(submission: Submission, now: number): void;
  /** The caller of a submission that was handed on has disconnected. */
  abandon(id: SubmissionId, now: number): void;
  /** The caller disconnected before its job was handed on. */
  dropped(job: Job, queue: Queue): void;
}

export function createSubmissions(options: SubmissionsOptions): Submissions {
  const callbacks = new Map<SubmissionId, (answer: Answer) => void>();
  let lastId = 0;

  function waitForAnswer(id: SubmissionId, queue: Queue): Promise<Answer> {
    const submittedAtMs = monotonicNowMs();
    return new Promise((resolve) => {
      callbacks.set(id, (answer) => {
        const responseMs = monotonicNowMs() - submittedAtMs;
        options.metrics.answered({ queue: queue.name, answer, responseMs });
        resolve(answer);
      });
    });
  }

  function submit(queue: Queue, job: Job): PendingAnswer {
    lastId += 1;
    const id = lastId;
    const submission: Submission = {
      id,
      job,
      queue,
      configurationVersion: options.configurationVersion(),
      ...options.callerAge(queue, job),
    };
    let isSubmitted = false;
    afterNextRead(() => {
      if (!callbacks.has(id)) return;
      isSubmitted = true;
      options.submit(submission, monotonicNowMs());
    });
    return {
      answer: waitForAnswer(id, queue),
      abandon() {
        if (!callbacks.delete(id)) return;
        if (isSubmitted) options.abandon(id, monotonicNowMs());
        else options.dropped(job, queue);
      },
    };
  }

  return {
    submit,
    answered(id, answer) {
      callbacks.get(id)?.(answer);
      callbacks.delete(id);
    },
  };
}

/**
 * Calls back after all sockets that are readable now were read. Immediates run
 * after the loop has read its sockets, so one of them may follow the read that
 * brought the current input, and the next one follows another read.
 */
function afterNextRead(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}
