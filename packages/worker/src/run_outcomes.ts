/**
 * Progress and outcomes of runs: what they teach about the server, and what
 * their owners are told.
 */
import type { RunOutcome, RunUpdate } from "@coltsfootreach/run";
import type { OwnerId } from "./effect.ts";
import type { Run } from "./runs.ts";
import type { WorkerState } from "./worker_state.ts";

/** Time without progress after which a run is reported as stalled... */
const MIN_STALL_MS = 250;

/** ...or this ratio of its expected run time, if that is longer. */
const STALL_RATIO = 0.35;

export interface RunOutcomes {
  notify(owner: OwnerId | undefined, update: RunUpdate): void;
  recordProgress(run: Run, percent: number, now: number): void;
  finishRun(run: Run, end: RunOutcome, now: number): void;
  /** The run is not executing and never will; it may have executed before. */
  loseRun(run: Run, reason: string, now: number): void;
}

export function createRunOutcomes(state: WorkerState): RunOutcomes {
  const { circuitBreaker, claims, counts, owners, runs, slownessEstimator } =
    state;

  function notify(owner: OwnerId | undefined, update: RunUpdate): void {
    if (owner !== undefined) owners.notify(owner, update);
  }

  function recordProgress(run: Run, percent: number, now: number): void {
    run.lastSeenAt = now;
    if (percent !== run.percent) {
      run.percent = percent;
      run.lastProgressAt = now;
      return;
    }
    if (run.state !== "running" || run.isStalled) return;
    const stallMs = Math.max(
      MIN_STALL_MS,
      run.estimateMs * slownessEstimator.value() * STALL_RATIO,
    );
    if (now - run.lastProgressAt < stallMs) return;
    run.isStalled = true;
    circuitBreaker.stalled(now);
    state.logRun("run makes no progress", run);
    notify(run.owner, { kind: "stalled", ref: run.ref });
  }

  function finishRun(run: Run, end: RunOutcome, now: number): void {
    runs.remove(run);
    const ms = now - run.startedAt;
    if (end === "done") {
      counts.done += 1;
      slownessEstimator.ended(ms, run.estimateMs);
      circuitBreaker.succeeded();
    } else if (end === "failed") {
      counts.failed += 1;
      circuitBreaker.failed(now);
      state.logRun("run failed", run);
    } else {
      counts.stopped += 1;
    }
    publishOutcome(run, { kind: "ended", ref: run.ref, end, ms });
  }

  function loseRun(run: Run, reason: string, now: number): void {
    runs.remove(run);
    counts.lost += 1;
    const lastSeenMs = Math.round(now - run.lastSeenAt);
    state.logRun("run lost", run, { reason, figures: { lastSeenMs } });
    publishOutcome(run, { kind: "lost", ref: run.ref, reason });
  }

  /** Notifies the owner, and keeps the outcome in case its stream breaks now. */
  function publishOutcome(run: Run, outcome: RunUpdate): void {
    notify(run.owner, outcome);
    claims.recordOutcome(outcome);
  }

  return { notify, recordProgress, finishRun, loseRun };
}
