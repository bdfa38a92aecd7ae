/**
 * Sessions with sides: received state, runs that may still be active on a side
 * whose stream broke, and pending outbound frames.
 */
import {
  type Claim,
  type DispatchFrame,
  keyOfTask,
  type RunRef,
  type RunUpdate,
  type Timing,
  type WorkFrame,
} from "@coltsfootreach/run";
import type { DispatchDecision, SessionId } from "./effect.ts";
import { requestStop, type TaskWithJob } from "./live_job.ts";
import {
  applyWorkFrame,
  createWorker,
  takeFrame,
  type Worker,
} from "./workers.ts";

/** Pause in offers to a side after a refusal, unless it reports earlier. */
const REFUSAL_BACKOFF_MS = 40;

export interface SideSessionsOptions {
  readonly entry: string;
  readonly timing: Timing;
  /** Maintained here; other modules only look workers up. */
  readonly workers: Map<SessionId, Worker>;
  /** Returns the task if this is its latest run. */
  findTask(ref: RunRef): TaskWithJob | undefined;
  handleRunUpdate(update: RunUpdate, now: number): void;
  send(session: SessionId, frame: DispatchFrame): void;
  close(session: SessionId): void;
  log(decision: DispatchDecision): void;
}

export interface SideSessions {
  opened(session: SessionId, now: number): void;
  received(session: SessionId, frame: WorkFrame, now: number): void;
  closed(session: SessionId, now: number): void;
  setEntries(addresses: readonly string[]): void;
  entries(): number;
  /** Closes the streams of sides whose silence exceeds the timeout. */
  closeSilentSides(now: number): void;
  /** Reports unconfirmed runs as lost once they are certain to have ended. */
  expireUnconfirmedRuns(now: number): void;
  /** Sends pending frames and heartbeats. */
  flush(now: number): void;
}

interface UnconfirmedRun {
  readonly claim: Claim;
  readonly expiresAt: number;
}

export function createSideSessions(options: SideSessionsOptions): SideSessions {
  const { workers, timing } = options;
  /** Runs on sides whose stream broke, by side name. */
  const unconfirmedRuns = new Map<string, UnconfirmedRun[]>();
  const loggedServerStates = new Map<SessionId, string>();
  const sentEntriesVersions = new Map<SessionId, number>();
  let entries: readonly string[] | undefined;
  let entriesVersion = 0;

  function received(
    session: SessionId,
    frame: WorkFrame,
    now: number,
  ): void {
    const worker = workers.get(session);
    if (worker === undefined) return;
    const isFirstFrame = worker.side === "";
    applyWorkFrame(worker, frame, now);
    if (isFirstFrame) registerSide(worker);
    if ("server" in frame) logServerState(worker);
    for (const update of frame.news) options.handleRunUpdate(update, now);
    for (const update of frame.news) {
      const isBackoffDue = update.kind === "refused" && !("server" in frame);
      if (isBackoffDue) worker.backoffUntil = now + REFUSAL_BACKOFF_MS;
    }
  }

  /** Closes older streams of a side that opened a new one. */
  function registerSide(worker: Worker): void {
    options.log({ message: "side connected", side: worker.side });
    for (const other of workers.values()) {
      const isOlder = other.side === worker.side && other !== worker;
      if (isOlder) {
        closeWorker(
          other,
          "replaced by a newer stream of the same side",
          worker.lastReceivedAt,
        );
      }
    }
  }

  /** Logs when the server or its open or suspect state changes. */
  function logServerState(worker: Worker): void {
    const { report, session, side } = worker;
    const state = report === undefined
      ? "no server"
      : `${report.id} ${report.isOpen ? "open" : "closed"}` +
        (report.isSuspect ? " suspect" : "");
    if (loggedServerStates.get(session) === state) return;
    loggedServerStates.set(session, state);
    options.log({
      message: "backend server state changed",
      side,
      reason: state,
    });
  }

  function closeWorker(worker: Worker, reason: string, now: number): void {
    workers.delete(worker.session);
    loggedServerStates.delete(worker.session);
    sentEntriesVersions.delete(worker.session);
    options.close(worker.session);
    options.log({
      message: "connection to side lost",
      side: worker.side,
      reason,
      figures: {
        runs: worker.runs.size,
        silentMs: Math.round(now - worker.lastReceivedAt),
      },
    });
    const unconfirmed: UnconfirmedRun[] = [...worker.runs.values()].map((
      claim,
    ) => ({
      claim,
      expiresAt: now + timing.runExpiryMs,
    }));
    for (const { claim } of unconfirmed) markUnconfirmed(claim);
    if (unconfirmed.length === 0) return;
    unconfirmedRuns.set(worker.side, [
      ...(unconfirmedRuns.get(worker.side) ?? []),
      ...unconfirmed,
    ]);
  }

  function markUnconfirmed(claim: Claim): void {
    const task = options.findTask(claim.ref)?.task;
    if (task?.state !== "placed") return;
    task.state = "unconfirmed";
    task.session = undefined;
    task.isStopping = false;
  }

  /** Expired runs are certain to have ended, whatever their outcome. */
  function expireUnconfirmedRuns(now: number): void {
    for (const [side, runs] of unconfirmedRuns) {
      const remaining = runs.filter((run) => run.expiresAt > now);
      for (const { claim, expiresAt } of runs) {
        if (expiresAt > now) continue;
        const { ref } = claim;
        options.handleRunUpdate({
          kind: "lost",
          ref,
          reason: "side did not reconnect in time",
        }, now);
      }
      if (remaining.length === 0) unconfirmedRuns.delete(side);
      else unconfirmedRuns.set(side, remaining);
    }
  }

  /** Assigns the unconfirmed runs of a side to its new stream. */
  function reclaimRuns(worker: Worker): readonly Claim[] {
    const runs = unconfirmedRuns.get(worker.side) ?? [];
    unconfirmedRuns.delete(worker.side);
    const claims: Claim[] = [];
    for (const { claim } of runs) {
      const found = options.findTask(claim.ref);
      if (found?.task.state !== "unconfirmed") continue;
      const { live, task } = found;
      task.state = "placed";
      task.session = worker.session;
      worker.runs.set(keyOfTask(task.ref), claim);
      claims.push(claim);
      if (live.isAnswered) requestStop(task, worker);
    }
    return claims;
  }

  function closeSilentSides(now: number): void {
    for (const worker of [...workers.values()]) {
      const isBusy = worker.runs.size > 0;
      const limitMs = isBusy ? timing.sideLostMs : timing.idleSideLostMs;
      const lastActiveAt = isBusy
        ? Math.max(worker.lastReceivedAt, worker.busySince)
        : worker.lastReceivedAt;
      if (now - lastActiveAt > limitMs) closeWorker(worker, "silent", now);
    }
  }

  function flush(now: number): void {
    for (const worker of workers.values()) {
      if (worker.side === "") continue;
      const sentVersion = sentEntriesVersions.get(worker.session) ?? 0;
      const hasEntriesUpdate = sentVersion !== entriesVersion &&
        entries !== undefined;
      const idleMs = now - worker.lastSentAt;
      const heartbeatMs = worker.runs.size > 0
        ? timing.heartbeatMs
        : timing.idleHeartbeatMs;
      const isDue = worker.offers.length > 0 || worker.stops.length > 0 ||
        hasEntriesUpdate || !worker.hasSentFirstFrame || idleMs >= heartbeatMs;
      if (!isDue) continue;
      sentEntriesVersions.set(worker.session, entriesVersion);
      const claims = worker.hasSentFirstFrame ? [] : reclaimRuns(worker);
      const frame = takeFrame(worker, {
        entry: options.entry,
        entries: hasEntriesUpdate ? entries : undefined,
        claims,
      }, now);
      options.send(worker.session, frame);
    }
  }

  return {
    opened(session, now) {
      workers.set(session, createWorker(session, now));
    },
    received,
    closed(session, now) {
      const worker = workers.get(session);
      if (worker !== undefined) closeWorker(worker, "stream closed", now);
    },
    setEntries(addresses) {
      entries = addresses;
      entriesVersion += 1;
    },
    entries: () => entries?.length ?? 1,
    closeSilentSides,
    expireUnconfirmedRuns,
    flush,
  };
}
