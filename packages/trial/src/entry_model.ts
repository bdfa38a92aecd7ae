/** An entry: owns jobs, queues their tasks and places them by a policy. */
import type {
  Admission,
  Queue,
  QueuedTask,
  Submission,
  Usage,
} from "@coltsfootreach/limit";
import type {
  Candidate,
  OutlierDetector,
  PlacementPolicy,
  RunTimeModel,
} from "@coltsfootreach/place";
import type { Clock } from "./clock.ts";
import type { LoadFrame, StartFrame } from "./side_model.ts";
import type { TrialJob } from "./workload.ts";

export interface JobEnd {
  readonly job: TrialJob;
  readonly state: "complete" | "failed" | "refused";
  readonly endedAtMs: number;
}

export interface EntryModel {
  submit(job: TrialJob): void;
  receive(frame: LoadFrame): void;
  /** False when no side takes any task now. */
  hasRoom(): boolean;
  /** Drops expired tasks and offers waiting ones again. */
  tick(): void;
}

export interface EntryModelOptions {
  readonly number: number;
  readonly clock: Clock;
  readonly policy: PlacementPolicy;
  readonly queue: Queue;
  readonly health: OutlierDetector;
  readonly admission: Admission;
  readonly usage: Usage;
  /** Learned here for admission and for what tasks cost their tenant. */
  readonly runTimes: RunTimeModel;
  readonly candidates: readonly Candidate[];
  readonly send: (side: string, start: StartFrame) => void;
  readonly onEnd: (end: JobEnd) => void;
}

interface JobRecord {
  readonly job: TrialJob;
  readonly longestMs: number;
  unplaced: number;
  left: number;
  failed: boolean;
}

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

const SIZE = { cores: 1, memoryMb: 1_024, accelerators: 0 };

export function createEntryModel(options: EntryModelOptions): EntryModel {
  const { clock, policy, queue, health } = options;
  const records = new Map<string, JobRecord>();
  const sides = new Map<string, Mutable<Candidate>>();
  for (const one of options.candidates) sides.set(one.side, { ...one });
  const all = [...sides.values()];

  function live(): readonly Candidate[] {
    if (health.ejected().length === 0) return all;
    return all.filter(({ side }) =>
      health.ejectionState(side, clock.nowMs()) !== "out"
    );
  }

  function place(task: QueuedTask): boolean {
    const record = records.get(task.job)!;
    const nowMs = clock.nowMs();
    const side = policy.choose(
      {
        class: task.class,
        tenant: task.tenant,
        size: SIZE,
        declaredMs: task.declaredMs,
        unplaced: record.unplaced,
        leftMs: task.deadlineAtMs - nowMs,
        longestMs: record.longestMs,
        usageRatio: options.usage.fairShareRatio(task.tenant, nowMs),
        ageMs: nowMs - record.job.atMs,
      },
      live(),
      nowMs,
    );
    if (side === undefined) return false;
    record.unplaced--;
    sides.get(side)!.outstanding++;
    if (health.ejectionState(side, nowMs) === "trial") {
      health.startTrial(side, nowMs);
    }
    const costMs = options.runTimes.expectedMs(task.class, task.declaredMs);
    options.usage.start(task.tenant, costMs, nowMs);
    send(record, task, side);
    return true;
  }

  function send(record: JobRecord, task: QueuedTask, side: string): void {
    options.send(side, {
      entry: options.number,
      job: task.job,
      index: task.index,
      of: record.job.tasks.length,
      declaredMs: task.declaredMs,
      runMs: record.job.tasks[task.index]!.runMs,
    });
  }

  function drain(): void {
    if (queue.size() > 0) queue.drain(place, clock.nowMs());
  }

  function waitingOf(job: TrialJob, index: number): QueuedTask {
    return {
      job: job.id,
      index,
      tenant: job.tenant,
      class: job.class,
      deadlineAtMs: job.atMs + job.deadlineMs,
      declaredMs: job.tasks[index]!.declaredMs,
    };
  }

  function endJob(record: JobRecord, state: JobEnd["state"]): void {
    records.delete(record.job.id);
    options.onEnd({ job: record.job, state, endedAtMs: clock.nowMs() });
  }

  function endTask(record: JobRecord, failed: boolean): void {
    record.left--;
    record.failed ||= failed;
    if (record.left === 0) {
      endJob(record, record.failed ? "failed" : "complete");
    }
  }

  function takeResult(frame: LoadFrame, start: StartFrame): void {
    const record = records.get(start.job)!;
    const declaredMs = record.job.tasks[start.index]!.declaredMs;
    const failed = frame.kind === "failure";
    const run = {
      side: frame.side,
      class: record.job.class,
      declaredMs,
      runMs: frame.runMs!,
    };
    policy.observe({ ...run, failed }, clock.nowMs());
    if (!failed) options.runTimes.observe(run);
    health.observe({ side: frame.side, failed }, clock.nowMs());
    endTask(record, failed);
  }

  function takeRefusal(frame: LoadFrame, start: StartFrame): void {
    const record = records.get(start.job)!;
    record.unplaced++;
    health.cancelTrial(frame.side);
    queue.requeue(waitingOf(record.job, start.index));
  }

  function submissionOf(job: TrialJob): Submission {
    let workMs = 0;
    let longestMs = 0;
    for (const { declaredMs } of job.tasks) {
      const runMs = options.runTimes.expectedMs(job.class, declaredMs);
      workMs += runMs;
      longestMs = Math.max(longestMs, runMs);
    }
    const { tenant, deadlineMs } = job;
    return {
      tenant,
      tasks: job.tasks.length,
      workMs,
      longestTaskMs: longestMs,
      deadlineMs,
    };
  }

  return {
    submit(job) {
      const submission = submissionOf(job);
      const refusal = options.admission.evaluate(submission, clock.nowMs());
      if (refusal !== undefined) {
        options.onEnd({ job, state: "refused", endedAtMs: clock.nowMs() });
        return;
      }
      options.admission.recordAdmission(submission, clock.nowMs());
      records.set(job.id, {
        job,
        longestMs: Math.max(...job.tasks.map((task) => task.declaredMs)),
        unplaced: job.tasks.length,
        left: job.tasks.length,
        failed: false,
      });
      queue.push(job.tasks.map((_, index) => waitingOf(job, index)));
      drain();
    },

    receive(frame) {
      const side = sides.get(frame.side)!;
      if (frame.start !== undefined) side.outstanding--;
      side.load = frame.load;
      side.loadAtMs = clock.nowMs();
      side.outstandingAtLoad = frame.held;
      if (frame.start !== undefined) {
        if (frame.kind === "refused") takeRefusal(frame, frame.start);
        else takeResult(frame, frame.start);
      }
      drain();
    },

    hasRoom() {
      return policy.hasRoom?.(live(), clock.nowMs()) ?? true;
    },

    tick() {
      for (const task of queue.removeExpired(clock.nowMs())) {
        endTask(records.get(task.job)!, true);
      }
      drain();
    },
  };
}
