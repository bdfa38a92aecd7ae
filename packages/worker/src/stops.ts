/**
 * Stops runs, and repeats a stop until the server has confirmed it. A confirmed
 * stop also bars the run from starting later.
 */
import type { RunRef } from "@coltsfootreach/run";
import type { StopReply } from "./calls.ts";
import type { OwnerId } from "./effect.ts";
import type { ListRequests } from "./list_requests.ts";
import type { RunOutcomes } from "./run_outcomes.ts";
import type { Run } from "./runs.ts";
import type { ServerState } from "./server_state.ts";
import type { WorkerState } from "./worker_state.ts";

const STOP_RETRY_MS = 150;

export interface Stops {
  beginStop(run: Run, now: number): void;
  sendStop(server: ServerState, run: Run, now: number): void;
  /** An entry asks for a stop; only the owner of a run may do so. */
  handleStop(owner: OwnerId, ref: RunRef, now: number): void;
  stopReplied(ref: RunRef, reply: StopReply, now: number): void;
  retryStops(server: ServerState, now: number): void;
}

export function createStops(
  state: WorkerState,
  { sendList, notify }:
    & Pick<ListRequests, "sendList">
    & Pick<RunOutcomes, "notify">,
): Stops {
  const { claims, leaseLimit, listPoller, runs } = state;

  function beginStop(run: Run, now: number): void {
    if (run.state === "stopping" || state.current === undefined) return;
    run.state = "stopping";
    sendStop(state.current, run, now);
  }

  function sendStop(server: ServerState, run: Run, now: number): void {
    run.lastRequestAt = now;
    state.emit({
      kind: "stop",
      request: {
        server: server.instance,
        ref: run.ref,
        fencingToken: state.fencingToken.value(),
      },
    });
  }

  function handleStop(owner: OwnerId, ref: RunRef, now: number): void {
    const run = runs.find(ref);
    if (run === undefined || run.owner !== owner) {
      if (claims.requestStop(owner, ref)) return;
      notify(owner, { kind: "lost", ref, reason: "unknown run" });
      return;
    }
    run.endBy = Math.min(run.endBy, leaseLimit.endOfRun(now));
    beginStop(run, now);
  }

  function stopReplied(ref: RunRef, reply: StopReply, now: number): void {
    const run = runs.find(ref);
    if (run === undefined || !reply.isConfirmed) return;
    run.isStopConfirmed = true;
    run.visibleAfterList = listPoller.latestNumber();
    sendList(now);
  }

  function retryStops(server: ServerState, now: number): void {
    for (const run of runs.all()) {
      if (run.state !== "stopping" || run.isStopConfirmed) continue;
      if (now - run.lastRequestAt >= STOP_RETRY_MS) sendStop(server, run, now);
    }
  }

  return { beginStop, sendStop, handleStop, stopReplied, retryStops };
}
