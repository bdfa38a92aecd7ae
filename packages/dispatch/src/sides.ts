/**
 * The streams from sides: what was heard on each, which runs may still be on a
 * side whose stream broke, and the frames that are due.
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
import { askStop, type FoundTask } from "./live_job.ts";
import { createWorker, hear, takeFrame, type Worker } from "./workers.ts";

/** Longest time between frames to a side that holds no runs. */
const IDLE_HEARTBEAT_MS = 1000;

/** A side without runs that was not heard for this long is given up. */
const IDLE_SIDE_LOST_MS = 2500;

/** After a refusal a side gets no offers for this long, or until it reports. */
const REFUSED_PAUSE_MS = 40;

export interface SidesOptions {
  readonly entry: string;
  readonly timing: Timing;
  /** Kept here and read by others. */
  readonly workers: Map<SessionId, Worker>;
  /** The task whose latest run this is. */
  find(ref: RunRef): FoundTask | undefined;
  takeNews(news: RunUpdate, now: number): void;
  send(session: SessionId, frame: DispatchFrame): void;
  close(session: SessionId): void;
  log(decision: DispatchDecision): void;
}

export interface Sides {
  opened(session: SessionId, now: number): void;
  received(session: SessionId, frame: WorkFrame, now: number): void;
  closed(session: SessionId, now: number): void;
  setEntries(addresses: readonly string[]): void;
  entries(): number;
  /** Gives up sides that were silent for too long. */
  loseSilent(now: number): void;
  /** Ends the doubt about runs that are over by now. */
  expireUnsure(now: number): void;
  /** Sends the frames that are due. */
  flush(now: number): void;
}

interface UnsureRun {
  readonly claim: Claim;
  readonly overAt: number;
}

export function createSides(options: SidesOptions): Sides {
  const { workers, timing } = options;
  /** Runs on sides whose stream broke, by side. */
  const unsure = new Map<string, UnsureRun[]>();
  const lastServers = new Map<SessionId, string>();
  const toldEntries = new Map<SessionId, number>();
  let entries: readonly string[] | undefined;
  let entriesVersion = 0;

  function received(
    session: SessionId,
    frame: WorkFrame,
    now: number,
  ): void {
    const worker = workers.get(session);
    if (worker === undefined) return;
    const isFirst = worker.side === "";
    hear(worker, frame, now);
    if (isFirst) meetSide(worker);
    if ("server" in frame) logServer(worker);
    for (const news of frame.news) options.takeNews(news, now);
    for (const news of frame.news) {
      const isFull = news.kind === "refused" && !("server" in frame);
      if (isFull) worker.pausedUntil = now + REFUSED_PAUSE_MS;
    }
  }

  /** A side has opened a stream; an older one of the same side is over. */
  function meetSide(worker: Worker): void {
    options.log({ message: "side joined", side: worker.side });
    for (const other of workers.values()) {
      const isOlder = other.side === worker.side && other !== worker;
      if (isOlder) closeWorker(other, "newer stream", worker.heardAt);
    }
  }

  /** One line when a belief about a server changes in kind. */
  function logServer(worker: Worker): void {
    const { report, session, side } = worker;
    const belief = report === undefined
      ? "none"
      : `${report.id} ${report.isOpen ? "open" : "closed"}` +
        (report.isSuspect ? " suspect" : "");
    if (lastServers.get(session) === belief) return;
    lastServers.set(session, belief);
    options.log({ message: "server changed", side, reason: belief });
  }

  function closeWorker(worker: Worker, reason: string, now: number): void {
    workers.delete(worker.session);
    lastServers.delete(worker.session);
    toldEntries.delete(worker.session);
    options.close(worker.session);
    options.log({
      message: "side lost",
      side: worker.side,
      reason,
      figures: {
        runs: worker.runs.size,
        silentMs: Math.round(now - worker.heardAt),
      },
    });
    const open: UnsureRun[] = [...worker.runs.values()].map((claim) => ({
      claim,
      overAt: now + timing.runExpiryMs,
    }));
    for (const { claim } of open) markUnsure(claim);
    if (open.length === 0) return;
    unsure.set(worker.side, [...(unsure.get(worker.side) ?? []), ...open]);
  }

  function markUnsure(claim: Claim): void {
    const task = options.find(claim.ref)?.task;
    if (task?.state !== "placed") return;
    task.state = "unsure";
    task.session = undefined;
    task.isStopping = false;
  }

  /** Runs of broken streams that are over by now, whatever became of them. */
  function expireUnsure(now: number): void {
    for (const [side, open] of unsure) {
      const left = open.filter((run) => run.overAt > now);
      for (const { claim, overAt } of open) {
        if (overAt > now) continue;
        const { ref } = claim;
        options.takeNews({ kind: "lost", ref, reason: "side lost" }, now);
      }
      if (left.length === 0) unsure.delete(side);
      else unsure.set(side, left);
    }
  }

  /** The new stream of a side takes over what the old one had. */
  function takeClaims(worker: Worker): readonly Claim[] {
    const open = unsure.get(worker.side) ?? [];
    unsure.delete(worker.side);
    const claims: Claim[] = [];
    for (const { claim } of open) {
      const found = options.find(claim.ref);
      if (found?.task.state !== "unsure") continue;
      const { live, task } = found;
      task.state = "placed";
      task.session = worker.session;
      worker.runs.set(keyOfTask(task.ref), claim);
      claims.push(claim);
      if (live.isAnswered) askStop(task, worker);
    }
    return claims;
  }

  function loseSilent(now: number): void {
    for (const worker of [...workers.values()]) {
      const isBusy = worker.runs.size > 0;
      const limitMs = isBusy ? timing.sideLostMs : IDLE_SIDE_LOST_MS;
      const since = isBusy
        ? Math.max(worker.heardAt, worker.busySince)
        : worker.heardAt;
      if (now - since > limitMs) closeWorker(worker, "silent", now);
    }
  }

  function flush(now: number): void {
    for (const worker of workers.values()) {
      if (worker.side === "") continue;
      const told = toldEntries.get(worker.session) ?? 0;
      const hasNews = told !== entriesVersion && entries !== undefined;
      const quietMs = now - worker.sentAt;
      const heartbeatMs = worker.runs.size > 0
        ? timing.heartbeatMs
        : IDLE_HEARTBEAT_MS;
      const isDue = worker.offers.length > 0 || worker.stops.length > 0 ||
        hasNews || !worker.isIntroduced || quietMs >= heartbeatMs;
      if (!isDue) continue;
      toldEntries.set(worker.session, entriesVersion);
      const claims = worker.isIntroduced ? [] : takeClaims(worker);
      const frame = takeFrame(worker, {
        entry: options.entry,
        entries: hasNews ? entries : undefined,
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
    loseSilent,
    expireUnsure,
    flush,
  };
}
