/**
 * Requests for the backend server's lists of runs. Each list also renews the
 * lease of the runs, so a server with runs is listed all the time. An idle one is
 * listed now and then, so that its clock stays known.
 */
import type { Announcement } from "@coltsfootreach/run";
import type { ServerState } from "./server_state.ts";
import type { WorkerState } from "./worker_state.ts";

/**
 * Maximum age of a reading of an idle server's clock. The first lease after an
 * idle time is shortened by the clock's possible drift since the reading.
 */
const MAX_CLOCK_AGE_MS = 5000;

export interface ListRequests {
  /** Asks an announced instance whether it is alive. */
  sendProbe(announcement: Announcement): void;
  /** Requests a list unless one is pending. */
  sendList(now: number): void;
  /** Requests a list if one is needed and the last request is long enough ago. */
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

  function isListNeeded(server: ServerState, now: number): boolean {
    return runs.count() > 0 || !server.hasRunList || listPoller.isDown() ||
      server.clock.ageMs(now) >= MAX_CLOCK_AGE_MS;
  }

  function sendDueList(now: number): void {
    const { current } = state;
    if (current === undefined || !isListNeeded(current, now)) return;
    if (listPoller.isDue(now)) sendList(now);
  }

  return { sendProbe, sendList, sendDueList };
}
