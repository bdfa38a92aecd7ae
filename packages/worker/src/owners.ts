/** Streams from entries: when each was heard, and what it is still to be told. */
import type { RunUpdate, ServerReport, WorkFrame } from "@coltsfootreach/run";
import type { OwnerId } from "./effect.ts";

interface Owner {
  hasRuns: boolean;
  heardAt: number;
  sentAt: number;
  entry: string;
  seen: number;
  news: RunUpdate[];
  reported: ServerReport | undefined;
  isIntroduced: boolean;
}

export interface OwnerOptions {
  readonly side: string;
  readonly dataCentre: string;
  /** Least time between reports that carry no news... */
  readonly reportMs: number;
  /** ...and at least this for each entry, so that many cost no more than few. */
  readonly reportMsPerOwner: number;
  /** Longest time between frames to an entry that has runs here... */
  readonly heartbeatMs: number;
  /** ...and to one that has none. */
  readonly idleHeartbeatMs: number;
}

export interface Owners {
  open(owner: OwnerId, now: number): void;
  close(owner: OwnerId): void;
  has(owner: OwnerId): boolean;
  heard(owner: OwnerId, sequence: number, now: number): void;
  named(owner: OwnerId, entry: string): void;
  nameOf(owner: OwnerId): string;
  tell(owner: OwnerId, news: RunUpdate): void;
  /** Says which streams have runs here. */
  setBusy(busy: ReadonlySet<OwnerId>): void;
  /** Streams that were silent for longer than they may be. */
  silent(limits: SilenceLimits, now: number): readonly OwnerId[];
  /** True while some entry is still to hear of this report. */
  isUnheard(report: ServerReport | undefined): boolean;
  /** Frames that are due, each with the newest report where it differs. */
  takeDue(report: ServerReport | undefined, now: number): readonly DueFrame[];
}

export interface SilenceLimits {
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
    if (owner.news.length > 0 || !owner.isIntroduced) return true;
    if (isOpen(owner.reported) !== isOpen(report)) return true;
    const quietMs = now - owner.sentAt;
    const reportMs = Math.max(
      options.reportMs,
      options.reportMsPerOwner * owners.size,
    );
    if (owner.reported !== report && quietMs >= reportMs) return true;
    return quietMs >=
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
      ...(owner.reported !== report && { server: report }),
      ...(!owner.isIntroduced && {
        side: options.side,
        dataCentre: options.dataCentre,
      }),
    };
    owner.news = [];
    owner.reported = report;
    owner.isIntroduced = true;
    owner.sentAt = now;
    return frame;
  }

  return {
    open(id, now) {
      owners.set(id, {
        hasRuns: false,
        heardAt: now,
        sentAt: now,
        entry: "",
        seen: 0,
        news: [],
        reported: undefined,
        isIntroduced: false,
      });
    },
    close(id) {
      owners.delete(id);
    },
    has: (id) => owners.has(id),
    heard(id, sequence, now) {
      const owner = owners.get(id);
      if (owner === undefined) return;
      owner.heardAt = now;
      owner.seen = Math.max(owner.seen, sequence);
    },
    named(id, entry) {
      const owner = owners.get(id);
      if (owner !== undefined) owner.entry = entry;
    },
    nameOf: (id) => owners.get(id)?.entry ?? "",
    tell(id, news) {
      owners.get(id)?.news.push(news);
    },
    setBusy(busy) {
      for (const [id, owner] of owners) owner.hasRuns = busy.has(id);
    },
    silent({ busyMs, idleMs }, now) {
      const silent: OwnerId[] = [];
      for (const [id, owner] of owners) {
        const limitMs = owner.hasRuns ? busyMs : idleMs;
        if (now - owner.heardAt > limitMs) silent.push(id);
      }
      return silent;
    },
    isUnheard(report) {
      for (const owner of owners.values()) {
        if (owner.reported !== report) return true;
      }
      return false;
    },
    takeDue(report, now) {
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
