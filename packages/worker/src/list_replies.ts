/**
 * Handles the server's replies to list requests, and their absence.
 */
import type { ListReply, ListRequest } from "./calls.ts";
import type { Instances } from "./instances.ts";
import type { PendingList } from "./list_poller.ts";
import type { ListRequests } from "./list_requests.ts";
import type { RunReconciliation } from "./run_reconciliation.ts";
import type { ServerState } from "./server_state.ts";
import type { WorkerState } from "./worker_state.ts";

export interface ListRepliesOptions {
  readonly requests: ListRequests;
  readonly instances: Instances;
  readonly reconciliation: RunReconciliation;
}

export interface ListReplies {
  listReplied(request: ListRequest, reply: ListReply, now: number): void;
}

export function createListReplies(
  state: WorkerState,
  { requests, instances, reconciliation }: ListRepliesOptions,
): ListReplies {
  const { listPoller } = state;
  const { sendDueList } = requests;
  const {
    probeReplied,
    probeCandidate,
    handleServerRestart,
    handleServerGone,
  } = instances;
  const { reconcileRuns } = reconciliation;

  function listReplied(
    request: ListRequest,
    reply: ListReply,
    now: number,
  ): void {
    const pending = listPoller.answered(request);
    if (pending === undefined) return;
    if (pending.probed !== undefined) {
      probeReplied(pending.probed, reply, now);
      return;
    }
    if (state.current !== undefined) {
      handleListReply(state.current, reply, pending, now);
    }
    probeCandidate();
  }

  function handleListReply(
    server: ServerState,
    reply: ListReply,
    pending: PendingList,
    now: number,
  ): void {
    const hasReplied = reply.kind !== "absent" && reply.kind !== "unanswered";
    if (hasReplied) listPoller.recordReply();
    switch (reply.kind) {
      case "listed":
        if (reply.born === server.instance.born) {
          reconcileRuns(server, reply, pending, now);
        } else handleServerRestart();
        return;
      case "fenced":
        // Another process of this side has sent requests since, or a request to
        // the previous instance has reached this one.
        server.hasRunList = false;
        instances.raiseFencingToken();
        return;
      case "otherLife":
        handleServerGone(reply.kind, now);
        return;
      case "absent":
        if (listPoller.recordAbsence()) handleServerGone(reply.kind, now);
        return;
      case "unanswered":
        handleLostReply(now);
        return;
    }
  }

  function handleLostReply(now: number): void {
    const wasDown = listPoller.isDown();
    listPoller.recordLoss(now);
    if (listPoller.isDown() && !wasDown) {
      state.log({
        message: "backend server does not answer; refusing new runs",
      });
    }
    sendDueList(now);
  }

  return { listReplied };
}
