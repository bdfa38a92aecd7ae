/**
 * Decides when an entry may act for keys that it did not own under the table
 * before. It must hold the records that earlier owners hand over and, when an
 * owner is lost, know that no side starts a task for that owner any more:
 * either every known side has given evidence under the new table, or the lost
 * owners can no longer make up a majority and the sides' confirmations have
 * run out.
 */
import { majorityOf, ownerOf } from "@coltsfootreach/ownership";
import { EMPTY_TABLE, type JobId, type Table } from "@coltsfootreach/types";
import { createRegistry, type Registry } from "./registry.ts";

/** Clocks of two processes may run this much apart, as a share. */
const CLOCK_DRIFT = 0.01;

export interface SettlementOptions {
  /** Incarnation of this entry. */
  readonly me: string;
  /** How long a side trusts a confirmation, on its own clock. */
  readonly freshnessMs: number;
  /** How long keys may be resubmitted. */
  readonly windowMs: number;
  /** Most that clocks of callers and entries may differ. */
  readonly skewMs: number;
  /** Unix time in milliseconds. */
  wallMs(): number;
}

interface Transition {
  readonly from: Table;
  /** Members removed after this version may have owned keys that are mine. */
  readonly sinceVersion: number;
  /** Members of the table before, as far as this entry can tell. */
  readonly formerMembers: number;
  /** The version that made this transition. */
  readonly madeAt: number;
  /** Evidence must be given under this version or a newer one. */
  evidenceVersion: number;
  /** Members whose records may still be on their way. */
  readonly waitingFor: Set<string>;
  needsEvidence: boolean;
  /** Since when nobody confirms an older table; undefined until so. */
  fencedAtMs: number | undefined;
}

/** Keys whose tasks may have been started on a side that is gone. */
interface Gap {
  readonly from: Table;
  readonly bornBeforeWallMs: number;
  readonly untilMs: number;
}

/** Time on the process's clock and in Unix milliseconds. */
export interface Instant {
  readonly nowMs: number;
  readonly wallMs: number;
}

export interface Settlement {
  readonly registry: Registry;
  adopt(table: Table, nowMs: number): void;
  table(): Table;
  /** A member says that it follows a table version. */
  follows(entry: string, tableVersion: number): void;
  /** A member has handed over all it had for a table version. */
  handedOver(entry: string, tableVersion: number): void;
  /** Operators have declared these incarnations gone for good. */
  declareGone(entries: ReadonlySet<string>): void;
  /** Settles what can be settled; true when something was. */
  tick(now: Instant): boolean;
  /** True when this entry may act for the job. */
  isSettled(job: JobId): boolean;
  /**
   * True when a task of this job may have been started on a side that could
   * not be asked; `bornWallMs` is the age of its key.
   */
  isInGap(job: JobId, bornWallMs: number | undefined): boolean;
  /** The version for which this entry may say that it has handed over all. */
  handOverVersion(): number;
  /**
   * The newest version under which evidence is or was wanted; 0 if never. A
   * side that returns late is still asked.
   */
  collectVersion(): number;
}

export function createSettlement(options: SettlementOptions): Settlement {
  const registry = createRegistry(options.wallMs);
  const followed = new Map<string, number>();
  const gone = new Set<string>();
  let table: Table = EMPTY_TABLE;
  let transitions: Transition[] = [];
  let gaps: Gap[] = [];
  let collectVersion = 0;

  function others(): Set<string> {
    const members = table.members.map((member) => member.incarnation);
    return new Set(members.filter((member) => member !== options.me));
  }

  function applyRemovals(): void {
    const members = others();
    for (const transition of transitions) {
      const lost = [...transition.waitingFor].filter((entry) =>
        !members.has(entry)
      );
      if (lost.length === 0) continue;
      lost.forEach((entry) => transition.waitingFor.delete(entry));
      // Members that left by themselves had handed everything over before.
      if (!lost.some((entry) => wasRemoved(entry))) continue;
      transition.needsEvidence = true;
      transition.evidenceVersion = table.version;
      collectVersion = table.version;
      transition.fencedAtMs = undefined;
    }
  }

  function wasRemoved(entry: string): boolean {
    return table.removals.some((removal) => removal.incarnation === entry);
  }

  function removalsSince(version: number): readonly string[] {
    return table.removals
      .filter((removal) => removal.version > version)
      .map((removal) => removal.incarnation);
  }

  /** A member that joins takes keys from those that were removed with it. */
  function joinedVersion(): number {
    const own = table.members.find((one) => one.incarnation === options.me);
    return own?.joinedVersion ?? table.version;
  }

  function adopt(next: Table, nowMs: number): void {
    if (next.version <= table.version) return;
    const previous = table;
    table = next;
    applyRemovals();
    const sinceVersion = previous.version === 0
      ? joinedVersion() - 1
      : previous.version;
    const removed = removalsSince(sinceVersion);
    if (removed.length > 0) collectVersion = table.version;
    transitions.push({
      from: previous,
      sinceVersion,
      formerMembers: previous.version === 0
        ? others().size + removed.length
        : previous.members.length,
      madeAt: table.version,
      evidenceVersion: table.version,
      waitingFor: others(),
      needsEvidence: removed.length > 0,
      fencedAtMs: undefined,
    });
    for (const entry of followed.keys()) {
      if (!others().has(entry)) followed.delete(entry);
    }
    gaps = gaps.filter((gap) => gap.untilMs > nowMs);
    registry.forgetLost(table);
  }

  /** True when no majority of the earlier table can confirm it any more. */
  function isFenced(transition: Transition): boolean {
    const current = table.version;
    for (const entry of others()) {
      if ((followed.get(entry) ?? 0) < transition.evidenceVersion) return false;
    }
    const removed = removalsSince(transition.sinceVersion)
      .filter((entry) => !gone.has(entry));
    return current >= transition.evidenceVersion &&
      removed.length < majorityOf(transition.formerMembers);
  }

  function hasEvidence(transition: Transition, now: Instant): boolean {
    const missing = registry.withoutEvidence(transition.evidenceVersion);
    if (missing.length === 0) {
      noteGap(transition, registry.lastDepartureWallMs(), now);
      return true;
    }
    if (!isFenced(transition)) return false;
    transition.fencedAtMs ??= now.nowMs;
    const waitMs = options.freshnessMs * (1 + CLOCK_DRIFT);
    if (now.nowMs - transition.fencedAtMs < waitMs) return false;
    noteGap(transition, now.wallMs, now);
    return true;
  }

  /** Starts up to this time may have left no evidence that could be had. */
  function noteGap(
    transition: Transition,
    lostBeforeWallMs: number,
    now: Instant,
  ): void {
    if (now.wallMs - lostBeforeWallMs > options.windowMs) return;
    gaps.push({
      from: transition.from,
      bornBeforeWallMs: lostBeforeWallMs + options.skewMs,
      untilMs: now.nowMs + options.windowMs,
    });
  }

  function canSettle(transition: Transition, now: Instant): boolean {
    if (transition.waitingFor.size > 0) return false;
    return !transition.needsEvidence || hasEvidence(transition, now);
  }

  function owns(from: Table, job: JobId): boolean {
    return ownerOf(from, job)?.incarnation === options.me;
  }

  return {
    registry,
    adopt,
    table: () => table,
    follows(entry, tableVersion) {
      const known = followed.get(entry) ?? 0;
      followed.set(entry, Math.max(known, tableVersion));
    },
    handedOver(entry, tableVersion) {
      for (const transition of transitions) {
        if (tableVersion < transition.madeAt) continue;
        transition.waitingFor.delete(entry);
      }
    },
    declareGone(entries) {
      entries.forEach((entry) => gone.add(entry));
    },
    tick(now) {
      const before = transitions.length;
      transitions = transitions.filter((transition) =>
        !canSettle(transition, now)
      );
      return transitions.length < before;
    },
    isSettled(job) {
      return transitions.every((transition) => owns(transition.from, job));
    },
    isInGap(job, bornWallMs) {
      return gaps.some((gap) => {
        if (owns(gap.from, job)) return false;
        return bornWallMs === undefined || bornWallMs <= gap.bornBeforeWallMs;
      });
    },
    handOverVersion() {
      // All transitions before this one are settled.
      return transitions[0]?.madeAt ?? table.version;
    },
    collectVersion: () => collectVersion,
  };
}
