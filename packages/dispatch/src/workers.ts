/**
 * An entry's view of each backend server: the side's last report, less the
 * offers that the report does not account for yet.
 */
import {
  addResources,
  type Claim,
  type DispatchFrame,
  keyOfTask,
  type Offer,
  type Resources,
  type RunRef,
  type ServerReport,
  subtractResources,
  type WorkFrame,
} from "@coltsfootreach/run";
import type { SessionId } from "./effect.ts";

/** A side with an open stream, and its backend server. */
export interface Worker {
  readonly session: SessionId;
  side: string;
  dataCentre: string;
  report: ServerReport | undefined;
  /** Free capacity, less that of offers still in flight. */
  room: Resources | undefined;
  lastReceivedAt: number;
  /** When the first current run was offered; an idle side sends less often. */
  busySince: number;
  lastSentAt: number;
  /** Sequence number of the last frame sent to the side. */
  sequence: number;
  /** After a refusal, no offers until this time or the next server report. */
  backoffUntil: number;
  /** Offers in frames that the side has not acknowledged yet. */
  unacknowledged: UnacknowledgedOffer[];
  /** This entry's runs on the side, by task key. */
  readonly runs: Map<string, Claim>;
  offers: Offer[];
  stops: RunRef[];
  hasSentFirstFrame: boolean;
}

interface UnacknowledgedOffer {
  readonly sequence: number;
  readonly resources: Resources;
}

export function createWorker(session: SessionId, now: number): Worker {
  return {
    session,
    side: "",
    dataCentre: "",
    report: undefined,
    room: undefined,
    lastReceivedAt: now,
    busySince: now,
    lastSentAt: now,
    sequence: 0,
    backoffUntil: 0,
    unacknowledged: [],
    runs: new Map(),
    offers: [],
    stops: [],
    hasSentFirstFrame: false,
  };
}

/** Updates the view of the side and its server from a received frame. */
export function applyWorkFrame(
  worker: Worker,
  frame: WorkFrame,
  now: number,
): void {
  worker.lastReceivedAt = now;
  if (frame.side !== undefined) worker.side = frame.side;
  if (frame.dataCentre !== undefined) worker.dataCentre = frame.dataCentre;
  worker.unacknowledged = worker.unacknowledged.filter((offer) =>
    offer.sequence > frame.seen
  );
  if ("server" in frame) {
    worker.report = frame.server;
    worker.backoffUntil = 0;
  }
  let room = worker.report?.room;
  for (const offer of worker.unacknowledged) {
    if (room !== undefined) room = subtractResources(room, offer.resources);
  }
  worker.room = room;
}

/** Adds an offer to the next frame; its capacity must be reserved already. */
export function addOffer(worker: Worker, offer: Offer, now: number): void {
  const { task, run, resources, estimateMs } = offer;
  if (worker.runs.size === 0) worker.busySince = now;
  worker.offers.push(offer);
  worker.unacknowledged.push({ sequence: worker.sequence + 1, resources });
  worker.runs.set(keyOfTask(task), {
    ref: { task, run },
    resources,
    estimateMs,
  });
}

/** Reserves capacity for a task that is about to be offered... */
export function reserve(worker: Worker, resources: Resources): void {
  if (worker.room !== undefined) {
    worker.room = subtractResources(worker.room, resources);
  }
}

/** ...and releases it if the task is not offered after all. */
export function release(worker: Worker, resources: Resources): void {
  if (worker.room !== undefined) {
    worker.room = addResources(worker.room, resources);
  }
}

export interface FrameOptions {
  readonly entry: string;
  readonly entries: readonly string[] | undefined;
  /** Runs that the side may still have from an earlier stream. */
  readonly claims: readonly Claim[];
}

/** Moves the pending offers and stops into a frame for the side. */
export function takeFrame(
  worker: Worker,
  options: FrameOptions,
  now: number,
): DispatchFrame {
  worker.sequence += 1;
  const frame: DispatchFrame = {
    kind: "dispatch",
    sequence: worker.sequence,
    offers: worker.offers,
    stops: worker.stops,
    ...(options.claims.length > 0 && { claims: options.claims }),
    ...(options.entries !== undefined && { entries: options.entries }),
    ...(!worker.hasSentFirstFrame && { entry: options.entry }),
  };
  worker.offers = [];
  worker.stops = [];
  worker.hasSentFirstFrame = true;
  worker.lastSentAt = now;
  return frame;
}

export function hasOpenServer(
  workers: ReadonlyMap<SessionId, Worker>,
): boolean {
  for (const { report } of workers.values()) {
    if (report?.isOpen) return true;
  }
  return false;
}
