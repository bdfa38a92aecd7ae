/**
 * The sides as an entry sees them.
 */
import type {
  Announcement,
  Hello,
  Load,
  SideFrame,
  SideIdentity,
  StartRefusalReason,
} from "@coltsfootreach/types";

/** How long a side is passed over after a refusal, in milliseconds. */
const PAUSE_MS: Partial<Record<StartRefusalReason, number>> = {
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
  refused(side: SideState, reason: StartRefusalReason, nowMs: number): void;
  remove(incarnation: string): void;
  all(): Iterable<SideState>;
  /** Gives up a side that has been silent for too long. */
  lose(side: SideState): void;
  /** Rises when a side may have begun or ceased to take work. */
  revision(): number;
  /** Sides that are not lost. */
  liveCount(): number;
  /** Slots of the sides that take work. */
  liveSlots(): number;
}

export function createSides(): Sides {
  const sides = new Map<string, SideState>();

  let revision = 0;
  let slots = 0;
  let slotsRevision = -1;

  return {
    hello(hello, nowMs) {
      const { identity, registration, announcement, draining } = hello;
      revision += 1;
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
      const isSame = side.tableVersion === frame.tableVersion &&
        side.configurationVersion === frame.configurationVersion;
      if (!isSame) revision += 1;
      side.tableVersion = frame.tableVersion;
      side.configurationVersion = frame.configurationVersion;
      side.load = frame.load;
      side.held = frame.held;
      side.loadAtMs = nowMs;
    },
    closed(incarnation) {
      const side = sides.get(incarnation);
      if (side !== undefined) side.connected = false;
      revision += 1;
    },
    refused(side, reason, nowMs) {
      revision += 1;
      if (reason === "draining") side.draining = true;
      const pauseMs = PAUSE_MS[reason];
      if (pauseMs !== undefined) side.pausedUntilMs = nowMs + pauseMs;
    },
    remove(incarnation) {
      sides.delete(incarnation);
      revision += 1;
    },
    all: () => sides.values(),
    lose(side) {
      side.lost = true;
      revision += 1;
    },
    revision: () => revision,
    liveSlots() {
      if (slotsRevision === revision) return slots;
      slotsRevision = revision;
      slots = 0;
      for (
        const { announcement, connected, lost, draining } of sides.values()
      ) {
        if (announcement === undefined || !connected) continue;
        if (lost || draining) continue;
        slots += Math.min(announcement.slots, announcement.connections);
      }
      return slots;
    },
    liveCount() {
      let count = 0;
      for (const side of sides.values()) count += side.lost ? 0 : 1;
      return count;
    },
  };
}
