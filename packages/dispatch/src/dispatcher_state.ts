/** State that the modules of the dispatcher share. */
import type {
  DispatchDecision,
  DispatchEffect,
  SessionId,
  SubmissionId,
} from "./effect.ts";
import type { LiveJob } from "./live_job.ts";
import type { Worker } from "./workers.ts";

/** Totals since the entry started. */
export interface DispatchTotals {
  submitted: number;
  completed: number;
  failed: number;
  timedOut: number;
  refused: number;
  abandoned: number;
  offersRefused: number;
  runsFailed: number;
  runsLost: number;
}

export interface DispatcherState {
  readonly workers: Map<SessionId, Worker>;
  readonly jobs: Map<SubmissionId, LiveJob>;
  /** Jobs that are active or whose runs are being stopped, by job id. */
  readonly liveByJobId: Map<string, LiveJob>;
  readonly counts: DispatchTotals;
  /** Something has changed that may let waiting tasks be placed. */
  isPlacementDue: boolean;
  /** Ratio of actual to declared run time on a healthy server. */
  baselineSlowness: number;
  emit(effect: DispatchEffect): void;
  takeEffects(): readonly DispatchEffect[];
  log(decision: DispatchDecision): void;
}

export function createDispatcherState(): DispatcherState {
  let effects: DispatchEffect[] = [];
  return {
    workers: new Map(),
    jobs: new Map(),
    liveByJobId: new Map(),
    counts: {
      submitted: 0,
      completed: 0,
      failed: 0,
      timedOut: 0,
      refused: 0,
      abandoned: 0,
      offersRefused: 0,
      runsFailed: 0,
      runsLost: 0,
    },
    isPlacementDue: false,
    baselineSlowness: 1,
    emit: (effect) => effects.push(effect),
    takeEffects() {
      const taken = effects;
      effects = [];
      return taken;
    },
    log: (decision) => effects.push({ kind: "log", decision }),
  };
}
