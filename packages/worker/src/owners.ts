/**
 * Streams from entries, each of which owns the runs that it started or claimed.
 * Tracks when each was last heard from and which updates it has yet to receive.
 */
import {
  type RunUpdate,
  type ServerReport,
  STALE_INPUT_WINDOW_MS,
  type WorkFrame,
} from "@coltsfootreach/run";
import type { OwnerId } from "./effect.ts";

interface Owner {
  hasRuns: boolean;
  lastReceivedAt: number;
  /** Frames before this time may have been held up with one after a silence. */
  staleUntil: number;
  lastSentAt: number;
  entry: string;
  seen: number;
  news: RunUpdate[];
  lastReport: ServerReport | undefined;
  hasSentFirstFrame: boolean;
}

export interface OwnerOptions {
  readonly side: string;
  readonly dataCentre: string;
  /** Minimum interval between reports on a stream without run updates... */
  readonly minReportIntervalMs: number;
  /** ...and at least this per stream, which caps the total report rate. */
  readonly minReportIntervalPerOwnerMs: number;
  /** Maximum interval between frames to an entry with runs on this side... */
  readonly heartbeatMs: number;
  /** ...and to an entry without any. */
  readonly idleHeartbeatMs: number;
  /** Silence after which the next frames of an entry may be stale. */
  readonly resubmitAfterMs: number;
}

export interface Owners {
  open(owner: OwnerId, now: number): void;
  close(owner: OwnerId): void;
  has(owner: OwnerId): boolean;
  frameReceived(owner: OwnerId, sequence: number, now: number): void;
  /** When a frame last arrived; the opening of the stream counts as one. */
  lastReceivedAt(owner: OwnerId): number;
  /** Whether frames of the stream may have been held up on their way. */
  isStale(owner: OwnerId, now: number): boolean;
  setEntryName(owner: OwnerId, entry: string): void;
  entryNameOf(owner: OwnerId): string;
  notify(owner: OwnerId, update: RunUpdate): void;
  /** Sets which streams have runs on this side; the others are idle. */
  setBusyOwners(busy: ReadonlySet<OwnerId>): void;
  /** Streams without a frame for longer than their timeout. */
  silent(timeouts: SilenceTimeouts, now: number): readonly OwnerId[];
  /** True while some entry has not been sent this report. */
  isReportPending(report: ServerReport | undefined): boolean;
  /** Returns the frames that are due, with the report if it has changed. */
  takeDueFrames(
    report: ServerReport | undefined,
    now: number,
  ): readonly DueFrame[];
}

export interface SilenceTimeouts {
  readonly busyMs: number;
  readonly idleMs: number;
}

export interface DueFrame {
  readonly owner: OwnerId;
  readonly frame: WorkFrame;
}

export function createOwners(options: OwnerOptions): Owners {
  const owners = new Map<OwnerId, Owner>();

  function isDue(
    owner: Owner,
    report: ServerReport | undefined,
    now: number,
  ): boolean {
    if (owner.news.length > 0 || !owner.hasSentFirstFrame) return true;
    if (isOpen(owner.lastReport) !== isOpen(report)) return true;
    const sinceLastSentMs = now - owner.lastSentAt;
    const minIntervalMs = Math.max(
      options.minReportIntervalMs,
      options.minReportIntervalPerOwnerMs * owners.size,
    );
    if (owner.lastReport !== report && sinceLastSentMs >= minIntervalMs) {
      return true;
    }
    return sinceLastSentMs >=
      (owner.hasRuns ? options.heartbeatMs : options.idleHeartbeatMs);
  }

  function takeFrame(
    owner: Owner,
    report: ServerReport | undefined,
    now: number,
  ): WorkFrame {
    const frame: WorkFrame = {
      kind: "work",
      seen: owner.seen,
      news: owner.news,
      ...(owner.lastReport !== report && { server: report }),
      ...(!owner.hasSentFirstFrame && {
        side: options.side,
        dataCentre: options.dataCentre,
      }),
    };
    owner.news = [];
    owner.lastReport = report;
    owner.hasSentFirstFrame = true;
    owner.lastSentAt = now;
    return frame;
  }

  return {
    open(id, now) {
      owners.set(id, {
        hasRuns: false,
        lastReceivedAt: now,
        staleUntil: 0,
        lastSentAt: now,
        entry: "",
        seen: 0,
        news: [],
        lastReport: undefined,
        hasSentFirstFrame: false,
      });
    },
    close(id) {
      owners.delete(id);
    },
    has: (id) => owners.has(id),
    frameReceived(id, sequence, now) {
      const owner = owners.get(id);
      if (owner === undefined) return;
      const silenceMs = now - owner.lastReceivedAt;
      if (silenceMs > options.resubmitAfterMs) {
        owner.staleUntil = now + STALE_INPUT_WINDOW_MS;
      }
      owner.lastReceivedAt = now;
      owner.seen = Math.max(owner.seen, sequence);
    },
    lastReceivedAt: (id) => owners.get(id)?.lastReceivedAt ?? -Infinity,
    isStale: (id, now) => now < (owners.get(id)?.staleUntil ?? 0),
    setEntryName(id, entry) {
      const owner = owners.get(id);
      if (owner !== undefined) owner.entry = entry;
    },
    entryNameOf: (id) => owners.get(id)?.entry ?? "",
    notify(id, update) {
      owners.get(id)?.news.push(update);
    },
    setBusyOwners(busy) {
      for (const [id, owner] of owners) owner.hasRuns = busy.has(id);
    },
    silent({ busyMs, idleMs }, now) {
      const silentOwners: OwnerId[] = [];
      for (const [id, owner] of owners) {
        const timeoutMs = owner.hasRuns ? busyMs : idleMs;
        if (now - owner.lastReceivedAt > timeoutMs) silentOwners.push(id);
      }
      return silentOwners;
    },
    isReportPending(report) {
      for (const owner of owners.values()) {
        if (owner.lastReport !== report) return true;
      }
      return false;
    },
    takeDueFrames(report, now) {
      const due: DueFrame[] = [];
      for (const [id, owner] of owners) {
        if (!isDue(owner, report, now)) continue;
        due.push({ owner: id, frame: takeFrame(owner, report, now) });
      }
      return due;
    },
  };
}

function isOpen(report: ServerReport | undefined): boolean {
  return report?.isOpen ?? false;
}
