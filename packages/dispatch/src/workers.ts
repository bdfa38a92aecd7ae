/**
 * What an entry believes of each backend server: the side's last report, less
 * the offers that the report does not take into account yet.
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

/** A side with an open stream. */
export interface Worker {
  readonly session: SessionId;
  side: string;
  dataCentre: string;
  report: ServerReport | undefined;
  /** Room that is left after the offers on their way. */
  room: Resources | undefined;
  heardAt: number;
  /** When it got the first of the runs it has; it may have been quiet before. */
  busySince: number;
  sentAt: number;
  /** Number of the last frame to the side. */
  sequence: number;
  /** After a refusal, no offers until the side says more or this time. */
  pausedUntil: number;
  /** Offers in frames that the side has not mentioned yet. */
  unseen: UnseenOffer[];
  /** This entry's runs there, by the key of their task. */
  readonly runs: Map<string, Claim>;
  offers: Offer[];
  stops: RunRef[];
  isIntroduced: boolean;
}

interface UnseenOffer {
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
    heardAt: now,
    busySince: now,
    sentAt: now,
    sequence: 0,
    pausedUntil: 0,
    unseen: [],
    runs: new Map(),
    offers: [],
    stops: [],
    isIntroduced: false,
  };
}

/** Takes in what the side says of itself and its server. */
export function hear(worker: Worker, frame: WorkFrame, now: number): void {
  worker.heardAt = now;
  if (frame.side !== undefined) worker.side = frame.side;
  if (frame.dataCentre !== undefined) worker.dataCentre = frame.dataCentre;
  worker.unseen = worker.unseen.filter((offer) => offer.sequence > frame.seen);
  if ("server" in frame) {
    worker.report = frame.server;
    worker.pausedUntil = 0;
  }
  let room = worker.report?.room;
  for (const offer of worker.unseen) {
    if (room !== undefined) room = subtractResources(room, offer.resources);
  }
  worker.room = room;
}

/** Adds an offer, whose room is reserved, to the next frame. */
export function addOffer(worker: Worker, offer: Offer, now: number): void {
  const { task, run, resources, estimateMs } = offer;
  if (worker.runs.size === 0) worker.busySince = now;
  worker.offers.push(offer);
  worker.unseen.push({ sequence: worker.sequence + 1, resources });
  worker.runs.set(keyOfTask(task), {
    ref: { task, run },
    resources,
    estimateMs,
  });
}

/** Takes room for a task that is about to be offered... */
export function reserve(worker: Worker, resources: Resources): void {
  if (worker.room !== undefined) {
    worker.room = subtractResources(worker.room, resources);
  }
}

/** ...and gives it back when it is not offered after all. */
export function release(worker: Worker, resources: Resources): void {
  if (worker.room !== undefined) {
    worker.room = addResources(worker.room, resources);
  }
}

export interface FrameOptions {
  readonly entry: string;
  readonly entries: readonly string[] | undefined;
  /** Runs that the side may still hold from an earlier stream. */
  readonly claims: readonly Claim[];
}

/** Takes what is due for the side into a frame. */
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
    ...(!worker.isIntroduced && { entry: options.entry }),
  };
  worker.offers = [];
  worker.stops = [];
  worker.isIntroduced = true;
  worker.sentAt = now;
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
