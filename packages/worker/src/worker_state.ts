/** State and collaborators that the modules of the worker core share. */
import type { Timing } from "@coltsfootreach/run";
import {
  type CircuitBreaker,
  createCircuitBreaker,
} from "./circuit_breaker.ts";
import { type Claims, createClaims } from "./claims.ts";
import type { WorkerDecision, WorkerEffect } from "./effect.ts";
import { createFencingToken, type FencingToken } from "./fencing_token.ts";
import { createLeaseLimit, type LeaseLimit } from "./lease_limit.ts";
import { createListPoller, type ListPoller } from "./list_poller.ts";
import { createOwners, type Owners } from "./owners.ts";
import { createRuns, type Run, type Runs } from "./runs.ts";
import type { ServerState } from "./server_state.ts";
import {
  createSlownessEstimator,
  type SlownessEstimator,
} from "./slowness_estimator.ts";

/** Minimum interval between reports of changed capacity to one entry. */
const MIN_REPORT_INTERVAL_MS = 50;

/** Minimum interval per entry; caps the total at 50 reports a second. */
const MIN_REPORT_INTERVAL_PER_ENTRY_MS = 20;

export interface WorkerOptions {
  readonly side: string;
  readonly dataCentre: string;
  readonly timing: Timing;
  /** Higher than that of any earlier process of this side. */
  readonly initialFencingToken: number;
}

/** Totals since the side started. */
export interface WorkerTotals {
  offered: number;
  refused: number;
  started: number;
  done: number;
  failed: number;
  stopped: number;
  lost: number;
}

/** What a log line about a run says besides the run. */
export type RunDetails = Pick<WorkerDecision, "reason" | "figures">;

export interface WorkerState {
  readonly timing: Timing;
  readonly owners: Owners;
  readonly runs: Runs;
  readonly leaseLimit: LeaseLimit;
  readonly listPoller: ListPoller;
  readonly claims: Claims;
  readonly slownessEstimator: SlownessEstimator;
  readonly circuitBreaker: CircuitBreaker;
  readonly counts: WorkerTotals;
  readonly fencingToken: FencingToken;
  /** The instance of the backend server in use. */
  current: ServerState | undefined;
  /** The previous instance, kept after it has ended. */
  previous: ServerState | undefined;
  /** The process is exiting. */
  isClosed: boolean;
  /** After a pause, input that is read before this time may be stale. */
  staleInputUntil: number;
  emit(effect: WorkerEffect): void;
  /** Drops pending effects for which the predicate is false. */
  keepEffects(isKept: (effect: WorkerEffect) => boolean): void;
  takeEffects(): readonly WorkerEffect[];
  log(decision: WorkerDecision): void;
  logRun(message: string, run: Run, details?: RunDetails): void;
}

export function createWorkerState(options: WorkerOptions): WorkerState {
  const { timing } = options;
  const fencingToken = createFencingToken(options.initialFencingToken);
  let effects: WorkerEffect[] = [];

  const owners = createOwners({
    side: options.side,
    dataCentre: options.dataCentre,
    minReportIntervalMs: MIN_REPORT_INTERVAL_MS,
    minReportIntervalPerOwnerMs: MIN_REPORT_INTERVAL_PER_ENTRY_MS,
    heartbeatMs: timing.heartbeatMs,
    idleHeartbeatMs: timing.idleHeartbeatMs,
    resubmitAfterMs: timing.resubmitAfterMs,
  });

  const runs = createRuns();
  const leaseLimit = createLeaseLimit({ timing, runs, owners });

  function log(decision: WorkerDecision): void {
    const server = state.current?.instance.id;
    effects.push({ kind: "log", decision: { server, ...decision } });
  }

  const state: WorkerState = {
    timing,
    owners,
    runs,
    leaseLimit,
    listPoller: createListPoller({ leaseMs: leaseLimit.leaseMs, fencingToken }),
    claims: createClaims(),
    slownessEstimator: createSlownessEstimator(),
    circuitBreaker: createCircuitBreaker(),
    counts: {
      offered: 0,
      refused: 0,
      started: 0,
      done: 0,
      failed: 0,
      stopped: 0,
      lost: 0,
    },
    fencingToken,
    current: undefined,
    previous: undefined,
    isClosed: false,
    staleInputUntil: 0,
    emit: (effect) => effects.push(effect),
    keepEffects(isKept) {
      effects = effects.filter(isKept);
    },
    takeEffects() {
      const taken = effects;
      effects = [];
      return taken;
    },
    log,
    logRun(message, run, details = {}) {
      const { ref, owner } = run;
      const entry = owner === undefined ? undefined : owners.entryNameOf(owner);
      log({ message, job: ref.task.job, run: ref.run, entry, ...details });
    },
  };
  return state;
}
