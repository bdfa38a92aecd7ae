/**
 * The sides as an entry sees them, and the candidates for a task among them.
 */
import type { Candidate } from "@coltsfootreach/place";
import type {
  Announcement,
  Hello,
  Load,
  RefusedReason,
  SideFrame,
  SideIdentity,
  Size,
} from "@coltsfootreach/types";
import { holds } from "./fit.ts";

/** How long a side is passed over after a refusal, in milliseconds. */
const PAUSE_MS: Partial<Record<RefusedReason, number>> = {
  staleTable: 100,
  notOwner: 100,
  notRegistered: 100,
  unconfirmedTable: 100,
  evidenceFull: 1000,
  noServer: 1000,
  connectionRefused: 1000,
};

export interface SideState {
  readonly identity: SideIdentity;
  registration: number;
  announcement: Announcement | undefined;
  draining: boolean;
  connected: boolean;
  /** Set once the side has been silent for too long. */
  lost: boolean;
  lastHeardMs: number;
  tableVersion: number;
  configurationVersion: number;
  /** Newest stamp seen, and newest stamp seen before the last table read. */
  stampMs: number;
  readStampMs: number;
  /** Starts of this entry that have not ended. */
  outstanding: number;
  load: Load;
  held: number;
  loadAtMs: number;
  pausedUntilMs: number;
}

export interface Sides {
  /** A side has opened a stream. */
  hello(hello: Hello, nowMs: number): SideState;
  find(incarnation: string): SideState | undefined;
  /** Earlier runs of the side with this name. */
  earlierRuns(identity: SideIdentity): readonly SideState[];
  heard(side: SideState, frame: SideFrame, nowMs: number): void;
  closed(incarnation: string): void;
  refused(side: SideState, reason: RefusedReason, nowMs: number): void;
  remove(incarnation: string): void;
  all(): Iterable<SideState>;
  /** Sides that may be sent a task now, of those that `admits` lets pass. */
  candidates(need: Need, admits: Admits, nowMs: number): readonly Candidate[];
  /** Sides that are not lost. */
  liveCount(): number;
}

export interface Need {
  readonly class: string;
  readonly size: Size;
  /** The side must follow this version of the table. */
  readonly tableVersion: number;
}

/** Whether a side may take work at all now. */
export type Admits = (side: SideState) => boolean;

export function createSides(): Sides {
  const sides = new Map<string, SideState>();

  function isLive(side: SideState): boolean {
    return side.connected && !side.lost && !side.draining &&
      side.announcement !== undefined;
  }

  function fits(side: SideState, need: Need): boolean {
    const offer = side.announcement;
    return offer !== undefined && offer.classes.includes(need.class) &&
      holds(offer.size, need.size);
  }

  return {
    hello(hello, nowMs) {
      const { identity, registration, announcement, draining } = hello;
      const known = sides.get(identity.incarnation);
      if (known !== undefined) {
        known.registration = registration;
        known.announcement = announcement;
        known.draining = draining;
        known.connected = true;
        known.lost = false;
        known.lastHeardMs = nowMs;
        known.pausedUntilMs = 0;
        return known;
      }
      const side: SideState = {
        identity,
        registration,
        announcement,
        draining,
        connected: true,
        lost: false,
        lastHeardMs: nowMs,
        tableVersion: 0,
        configurationVersion: 0,
        stampMs: -1,
        readStampMs: -1,
        outstanding: 0,
        load: { running: 0, queued: 0 },
        held: 0,
        loadAtMs: nowMs,
        pausedUntilMs: 0,
      };
      sides.set(identity.incarnation, side);
      return side;
    },
    find: (incarnation) => sides.get(incarnation),
    earlierRuns(identity) {
      return [...sides.values()].filter((side) =>
        side.identity.side === identity.side &&
        side.identity.incarnation !== identity.incarnation
      );
    },
    heard(side, frame, nowMs) {
      side.lastHeardMs = nowMs;
      side.stampMs = Math.max(side.stampMs, frame.stampMs);
      side.tableVersion = frame.tableVersion;
      side.configurationVersion = frame.configurationVersion;
      side.load = frame.load;
      side.held = frame.held;
      side.loadAtMs = nowMs;
    },
    closed(incarnation) {
      const side = sides.get(incarnation);
      if (side !== undefined) side.connected = false;
    },
    refused(side, reason, nowMs) {
      if (reason === "draining") side.draining = true;
      const pauseMs = PAUSE_MS[reason];
      if (pauseMs !== undefined) side.pausedUntilMs = nowMs + pauseMs;
    },
    remove(incarnation) {
      sides.delete(incarnation);
    },
    all: () => sides.values(),
    candidates(need, admits, nowMs) {
      const found: Candidate[] = [];
      for (const side of sides.values()) {
        if (!isLive(side) || side.pausedUntilMs > nowMs) continue;
        if (side.tableVersion !== need.tableVersion) continue;
        if (fits(side, need) && admits(side)) found.push(candidateOf(side));
      }
      return found;
    },
    liveCount() {
      let count = 0;
      for (const side of sides.values()) count += side.lost ? 0 : 1;
      return count;
    },
  };
}

/** A view that stays current while the core places several tasks. */
function candidateOf(side: SideState): Candidate {
  const offer = side.announcement!;
  return {
    side: side.identity.incarnation,
    server: offer.server,
    dataCentre: side.identity.dataCentre,
    slots: Math.min(offer.slots, offer.connections),
    get outstanding() {
      return side.outstanding;
    },
    load: side.load,
    loadAtMs: side.loadAtMs,
    outstandingAtLoad: side.held,
    classes: offer.classes,
    size: offer.size,
  };
}
