/**
 * Compares the runs that the side knows with those that the server lists: takes
 * note of ends, adopts unknown runs, and gives up runs that are gone.
 */
import type { RunRef } from "@coltsfootreach/run";
import type { ListReply } from "./calls.ts";
import type { PendingList } from "./list_poller.ts";
import type { ListRequests } from "./list_requests.ts";
import type { Ownership } from "./ownership.ts";
import type { RunOutcomes } from "./run_outcomes.ts";
import type { Run } from "./runs.ts";
import type { ServerState } from "./server_state.ts";
import type { WorkerState } from "./worker_state.ts";

/** Time for entries to claim runs that a new side process discovers. */
const CLAIM_PERIOD_MS = 200;

export interface RunReconciliationOptions {
  readonly requests: ListRequests;
  readonly outcomes: RunOutcomes;
  readonly ownership: Ownership;
}

export interface RunReconciliation {
  reconcileRuns(
    server: ServerState,
    reply: Extract<ListReply, { kind: "listed" }>,
    pending: PendingList,
    now: number,
  ): void;
}

export function createRunReconciliation(
  state: WorkerState,
  { requests, outcomes, ownership }: RunReconciliationOptions,
): RunReconciliation {
  const { leaseLimit, listPoller, runs } = state;
  const { sendList } = requests;
  const { recordProgress, finishRun, loseRun } = outcomes;
  const { answerPendingClaims } = ownership;

  function reconcileRuns(
    server: ServerState,
    reply: Extract<ListReply, { kind: "listed" }>,
    pending: PendingList,
    now: number,
  ): void {
    server.clock.recordReading(reply.clockMs, now);
    server.lastReplyAt = now;
    const listed = new Set<Run>();
    for (const row of reply.running) {
      const run = runs.find(row.ref) ?? addDiscoveredRun(row.ref, now);
      listed.add(run);
      recordProgress(run, row.percent, now);
    }
    for (const row of reply.ends) {
      if (row.number <= server.observed) continue;
      server.observed = row.number;
      const run = runs.find(row.ref);
      if (run !== undefined) finishRun(run, row.end, now);
    }
    for (const run of runs.all()) {
      if (!listed.has(run)) checkUnlistedRun(run, pending.number, now);
    }
    server.hasRunList = true;
    answerPendingClaims(now);
    if (runs.count() > 0) sendList(now);
  }

  /** Adds a run of an earlier side process, or one that was started late. */
  function addDiscoveredRun(ref: RunRef, now: number): Run {
    const run: Run = {
      ref,
      owner: undefined,
      resources: undefined,
      estimateMs: 0,
      claimableUntil: now + CLAIM_PERIOD_MS,
      endBy: leaseLimit.endOfRun(now),
      state: "running",
      isStopConfirmed: false,
      lastRequestAt: now,
      visibleAfterList: listPoller.latestNumber(),
      startedAt: now,
      percent: 0,
      lastProgressAt: now,
      isStalled: false,
      lastSeenAt: now,
    };
    runs.add(run);
    // The process that started the run may just have renewed its lease.
    listPoller.extendLease(now);
    state.logRun("unknown run found on the backend server", run);
    return run;
  }

  function checkUnlistedRun(run: Run, list: number, now: number): void {
    if (list <= run.visibleAfterList) return;
    if (run.state === "running") loseRun(run, "not listed", now);
    else if (run.state === "stopping" && run.isStopConfirmed) {
      finishRun(run, "stopped", now);
    }
  }

  return { reconcileRuns };
}
