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

/** Probes after one announcement; another announcement follows soon. */
const MAX_PROBES = 12;

export interface InstancesOptions {
  readonly requests: ListRequests;
  readonly outcomes: RunOutcomes;
  readonly stops: Stops;
}

export interface Instances {
  announced(announcement: Announcement): void;
  /** A leave notice arrived. It names no life of the server, only its id. */
  left(id: string, now: number): void;
  /** Stops using a leaving server once none of its runs can be active. */
  releaseLeavingServer(): void;
  probeReplied(probed: Announcement, reply: ListReply, now: number): void;
  /** Probes an announced instance that has not replied yet. */
  probeCandidate(): void;
  /** The server has seen a higher token, so it ignores requests until then. */
  raiseFencingToken(): void;
  /** True from the announcement of an instance until it accepts runs. */
  isJoining(): boolean;
  /** Another instance replied under the same id; its announcement follows. */
  handleServerRestart(): void;
  handleServerGone(reason: string, now: number): void;
}

export function createInstances(
  state: WorkerState,
  { requests, outcomes, stops }: InstancesOptions,
): Instances {
  const { circuitBreaker, listPoller, runs, slownessEstimator } = state;
  const { sendDueList, sendList, sendProbe } = requests;
  const { loseRun } = outcomes;
  const { sendStop } = stops;
  let candidate: Announcement | undefined;
  let remainingProbes = 0;

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
    remainingProbes = MAX_PROBES;
    probeCandidate();
  }

  function updateAnnouncement(
    server: ServerState,
    announcement: Announcement,
  ): void {
    const previousAnnouncement = server.announcement;
    if (announcement.sequence <= previousAnnouncement.sequence) return;
    // What describes the instance can't change; another writer may claim it.
    const { sequence, isDraining, remainingMs } = announcement;
    server.announcement = {
      ...previousAnnouncement,
      sequence,
      isDraining,
      remainingMs,
    };
    if (server.isLeaving && !isDraining) cancelLeaving(server);
    if (announcement.isDraining === previousAnnouncement.isDraining) return;
    state.log({
      message: announcement.isDraining
        ? "backend server is draining"
        : "backend server is no longer draining",
      figures: { remainingMs: announcement.remainingMs },
    });
  }

  function left(id: string, now: number): void {
    if (candidate?.id === id) candidate = undefined;
    const { current } = state;
    if (current?.instance.id !== id) return;
    state.log({
      message: "backend server leaves; it gets no new runs",
      figures: lifeSigns(current, now),
    });
    current.isLeaving = true;
    releaseLeavingServer();
  }

  function releaseLeavingServer(): void {
    if (state.current?.isLeaving && runs.count() === 0) clearInstance();
  }

  /** Only another life under the same id can have sent the leave notice. */
  function cancelLeaving(server: ServerState): void {
    server.isLeaving = false;
    state.log({
      message: "backend server is in service after a leave notice",
      figures: { sequence: server.announcement.sequence },
    });
  }

  /** The instance has ended, and with it all of its runs. */
  function handleInstanceEnd(reason: string, now: number): void {
    clearInstance();
    for (const run of runs.all()) loseRun(run, reason, now);
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
    else handleInstanceEnd("server replaced", now);
    clearInstance();
    const server = createServerState(announcement, clockMs, now);
    if (isSameId) state.fencingToken.advance();
    state.current = server;
    for (const run of runs.all()) sendStop(server, run, now);
  }

  function probeReplied(
    probed: Announcement,
    reply: ListReply,
    now: number,
  ): void {
    // A newer announcement has arrived since; its own probe is due.
    if (probed !== candidate) return;
    if (reply.kind === "listed" && reply.born === probed.born) {
      join(probed, reply.clockMs, now);
      return;
    }
    if (reply.kind === "fenced") raiseFencingToken();
    else if (!mayStillReply(reply)) dropCandidate(reply.kind);
    sendDueList(now);
  }

  /** A lost reply says nothing about an instance unless another one is in use. */
  function mayStillReply({ kind }: ListReply): boolean {
    const isLost = kind === "absent" || kind === "unanswered";
    return isLost && state.current === undefined;
  }

  /** The next announcement triggers another probe. */
  function dropCandidate(reason: string): void {
    candidate = undefined;
    state.log({
      message: "announced backend server instance did not answer the probe",
      reason,
    });
  }

  function join(
    announcement: Announcement,
    clockMs: number,
    now: number,
  ): void {
    candidate = undefined;
    adoptInstance(announcement, clockMs, now);
    state.log({
      message: "backend server joined",
      figures: {
        born: announcement.born,
        fence: state.fencingToken.value(),
      },
    });
    sendList(now);
  }

  function raiseFencingToken(): void {
    state.fencingToken.raise();
    state.log({
      message: "backend server rejected the fencing token; raising it",
      reason: "fenced",
      figures: { fence: state.fencingToken.value() },
    });
  }

  /** Another instance replied under the same id; its announcement follows. */
  function handleServerRestart(): void {
    state.log({
      message: "backend server restarted; waiting for its announcement",
    });
    markRunsUncertain();
    clearInstance();
  }

  function handleServerGone(reason: string, now: number): void {
    state.log({
      message: "backend server is gone; its runs are lost",
      reason,
      ...(state.current !== undefined && {
        figures: lifeSigns(state.current, now),
      }),
    });
    handleInstanceEnd(reason, now);
  }

  /** What the side knew of an instance when it was told that it ends. */
  function lifeSigns(server: ServerState, now: number) {
    return {
      runs: runs.count(),
      lastReplyMs: Math.round(now - server.lastReplyAt),
      sequence: server.announcement.sequence,
    };
  }

  function probeCandidate(): void {
    if (candidate === undefined || listPoller.isPending()) return;
    if (remainingProbes === 0) {
      dropCandidate("too many attempts");
      return;
    }
    remainingProbes -= 1;
    sendProbe(candidate);
  }

  function isJoining(): boolean {
    return candidate !== undefined || state.current?.hasRunList === false;
  }

  return {
    announced,
    left,
    releaseLeavingServer,
    probeReplied,
    probeCandidate,
    raiseFencingToken,
    isJoining,
    handleServerRestart,
    handleServerGone,
  };
}
