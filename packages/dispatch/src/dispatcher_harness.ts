/** A dispatcher with stand-in sessions, for its tests. */
import {
  type DispatchFrame,
  type Job,
  type RunUpdate,
  type ServerReport,
  type Step,
  type WorkFrame,
} from "@coltsfootreach/run";
import {
  SAMPLE_REMOTE_FACTOR,
  SAMPLE_TIMING,
  sampleQueue,
  sampleReport,
  sampleStep,
} from "@coltsfootreach/standin";
import type { Answer } from "./answer.ts";
import {
  createDispatcher,
  type Dispatcher,
  type Submission,
} from "./dispatcher.ts";

/** After the server discovery phase at startup. */
export const START_MS = 10_000;

export function job(id: string, steps: readonly Step[] = [sampleStep()]): Job {
  return { id, payload: "p", steps, timeoutMs: 2000 };
}

export function report(id: string, cpu: number): ServerReport {
  const resources = { cpu, memoryMb: 1000, gpu: 0 };
  return sampleReport({ id, capacity: resources, room: resources });
}

export type SubmissionAge = Partial<Pick<Submission, "ageMs" | "maxAgeMs">>;

export interface Harness {
  readonly dispatcher: Dispatcher;
  readonly answers: Map<number, Answer>;
  /** Returns the frames sent to a session since the last call. */
  frames(session: number, now: number): readonly DispatchFrame[];
  submit(id: number, job: Job, now: number, age?: SubmissionAge): void;
  connect(
    session: number,
    side: string,
    server: ServerReport,
    now: number,
  ): void;
  receive(session: number, frame: Partial<WorkFrame>, now: number): void;
}

export function createHarness(): Harness {
  const dispatcher = createDispatcher({
    entry: "entry",
    timing: SAMPLE_TIMING,
    remoteFactor: SAMPLE_REMOTE_FACTOR,
    random: () => 0,
  });
  const answers = new Map<number, Answer>();
  const sent = new Map<number, DispatchFrame[]>();

  function performEffects(now: number): void {
    for (const effect of dispatcher.takeEffects(now)) {
      if (effect.kind === "answer") {
        answers.set(effect.submission, effect.answer);
      } else if (effect.kind === "send") {
        const frames = sent.get(effect.session) ?? [];
        sent.set(effect.session, [...frames, effect.frame]);
      }
    }
  }

  function receive(
    session: number,
    overrides: Partial<WorkFrame>,
    now: number,
  ): void {
    const frame: WorkFrame = { kind: "work", seen: 99, news: [], ...overrides };
    dispatcher.frameReceived(session, frame, now);
    performEffects(now);
  }

  dispatcher.tick(0);
  return {
    dispatcher,
    answers,
    frames(session, now) {
      performEffects(now);
      const frames = sent.get(session) ?? [];
      sent.delete(session);
      return frames;
    },
    submit(id, submittedJob, now, age = {}) {
      const queue = sampleQueue();
      const submission = {
        id,
        job: submittedJob,
        queue,
        configurationVersion: 1,
        ageMs: 0,
        ...age,
      };
      dispatcher.submit(submission, now);
      performEffects(now);
    },
    connect(session, side, server, now) {
      dispatcher.sessionOpened(session, now);
      receive(session, { side, dataCentre: "a", server }, now);
    },
    receive,
  };
}

export function offers(frames: readonly DispatchFrame[]) {
  return frames.flatMap((frame) => frame.offers);
}

export function stops(frames: readonly DispatchFrame[]) {
  return frames.flatMap((frame) => frame.stops);
}

export function ended(
  id: string,
  end: "done" | "failed" | "stopped",
  { run = 1, step = 0, index = 0 } = {},
): RunUpdate {
  const task = { job: id, occurrence: 0, step, index };
  return { kind: "ended", ref: { task, run }, end, ms: 100 };
}
