/**
 * Which instance of the backend server the side uses. An announcement may be
 * stale, so a new instance is adopted only once it has answered a probe.
 */
import type { Announcement } from "@coltsfootreach/run";
import type { ListReply } from "./calls.ts";
import type { ListRequests } from "./list_requests.ts";
import type { RunOutcomes } from "./run_outcomes.ts";
import {
  createServerState,
  isSameInstance,
  type ServerState,
  toInstance,
} from "./server_state.ts";
import type { Stops } from "./stops.ts";
import type { WorkerState } from "./worker_state.ts";

export interface InstancesOptions {
  readonly requests: ListRequests;
  readonly outcomes: RunOutcomes;
  readonly stops: Stops;
}

export interface Instances {
  announced(announcement: Announcement): void;
  left(id: string): void;
  probeReplied(reply: ListReply, now: number): void;
  /** Probes an instance that was announced while a list was pending. */
  probeCandidate(): void;
  /** Another instance replied under the same id; its announcement follows. */
  handleServerRestart(): void;
  handleServerGone(reason: string): void;
}

export function createInstances(
  state: WorkerState,
  { requests, outcomes, stops }: InstancesOptions,
): Instances {
  const { circuitBreaker, listPoller, runs, slownessEstimator } = state;
  const { sendList, sendProbe } = requests;
  const { loseRun } = outcomes;
  const { sendStop } = stops;
  let candidate: Announcement | undefined;

  function announced(announcement: Announcement): void {
    const instance = toInstance(announcement);
    if (
      state.current !== undefined &&
      isSameInstance(state.current.instance, instance)
    ) {
      updateAnnouncement(state.current, announcement);
      return;
    }
    candidate = announcement;
    if (!listPoller.isPending()) sendProbe(announcement);
  }

  function updateAnnouncement(
    server: ServerState,
    announcement: Announcement,
  ): void {
    const previousAnnouncement = server.announcement;
    if (announcement.sequence <= previousAnnouncement.sequence) return;
    server.announcement = announcement;
    if (announcement.isDraining === previousAnnouncement.isDraining) return;
    state.log({
      message: announcement.isDraining
        ? "backend server is draining"
        : "backend server is no longer draining",
      figures: { remainingMs: announcement.remainingMs },
    });
  }

  function left(id: string): void {
    if (candidate?.id === id) candidate = undefined;
    if (state.current?.instance.id !== id) return;
    state.log({ message: "backend server left" });
    handleInstanceEnd("server left");
  }

  /** The instance has ended, and with it all of its runs. */
  function handleInstanceEnd(reason: string): void {
    clearInstance();
    for (const run of runs.all()) loseRun(run, reason);
  }

  function clearInstance(): void {
    if (state.current === undefined) return;
    state.previous = state.current;
    state.current = undefined;
    listPoller.instanceEnded();
    slownessEstimator.reset();
    circuitBreaker.reset();
  }

  /**
   * The server has restarted, possibly under the same id: requests that were
   * meant for the previous instance may have reached the new one.
   */
  function markRunsUncertain(): void {
    for (const run of runs.all()) {
      run.state = "stopping";
      run.isStopConfirmed = false;
      state.logRun(
        "run may have started on the new server instance; stopping it",
        run,
      );
    }
  }

  function adoptInstance(
    announcement: Announcement,
    clockMs: number,
    now: number,
  ) {
    const predecessor = state.current ?? state.previous;
    const isSameId = predecessor?.instance.id === announcement.id;
    if (isSameId) markRunsUncertain();
    else handleInstanceEnd("server replaced");
    clearInstance();
    const server = createServerState(announcement, clockMs, now);
    if (isSameId) {
      server.fencingToken = Math.max(
        server.fencingToken,
        predecessor.fencingToken + 1,
      );
    }
    state.current = server;
    for (const run of runs.all()) sendStop(server, run, now);
  }

  function probeReplied(reply: ListReply, now: number): void {
    const announcement = candidate;
    if (announcement === undefined) return;
    const isAlive = reply.kind === "fenced" ||
      (reply.kind === "listed" && reply.born === announcement.born);
    if (!isAlive) {
      // The next announcement triggers another probe.
      candidate = undefined;
      state.log({
        message: "announced backend server instance did not answer the probe",
        reason: reply.kind,
      });
      return;
    }
    candidate = undefined;
    adoptInstance(announcement, reply.clockMs, now);
    state.log({
      message: "backend server joined",
      figures: {
        born: announcement.born,
        fence: state.current?.fencingToken ?? 0,
      },
    });
    sendList(now);
  }

  /** Another instance replied under the same id; its announcement follows. */
  function handleServerRestart(): void {
    state.log({
      message: "backend server restarted; waiting for its announcement",
    });
    markRunsUncertain();
    clearInstance();
  }

  function handleServerGone(reason: string): void {
    state.log({ message: "backend server is gone; its runs are lost", reason });
    handleInstanceEnd(reason);
  }

  function probeCandidate(): void {
    if (candidate !== undefined && !listPoller.isPending()) {
      sendProbe(candidate);
    }
  }

  return {
    announced,
    left,
    probeReplied,
    probeCandidate,
    handleServerRestart,
    handleServerGone,
  };
}
