/**
 * Requests for the backend server's lists of runs. Each list also renews the
 * lease of the runs, so a server with runs is listed all the time.
 */
import type { Announcement } from "@coltsfootreach/run";
import type { WorkerState } from "./worker_state.ts";

export interface ListRequests {
  /** Asks an announced instance whether it is alive. */
  sendProbe(announcement: Announcement): void;
  /** Requests a list unless one is pending. */
  sendList(now: number): void;
  /** Polls a server while it has runs, or while it seems to be down. */
  sendDueList(now: number): void;
}

export function createListRequests(state: WorkerState): ListRequests {
  const { listPoller, runs } = state;

  function sendProbe(announcement: Announcement): void {
    state.emit({ kind: "list", request: listPoller.probe(announcement) });
  }

  function sendList(now: number): void {
    if (state.current === undefined || listPoller.isPending()) return;
    const activity = {
      hasRuns: runs.count() > 0,
      isStopping: runs.all().some((run) => run.state === "stopping"),
    };
    state.emit({
      kind: "list",
      request: listPoller.nextRequest(state.current, activity, now),
    });
  }

  /** Polls a server while it has runs, or while it seems to be down. */
  function sendDueList(now: number): void {
    const isNeeded = runs.count() > 0 || listPoller.isDown();
    if (isNeeded && listPoller.isDue(now)) sendList(now);
  }

  return { sendProbe, sendList, sendDueList };
}
