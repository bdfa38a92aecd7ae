/**
 * Decides when an entry may act for keys that it did not own under the table
 * before. It must hold the records that earlier owners hand over and, when an
 * owner is lost, know that no side starts a task for that owner any more:
 * either every known side has given evidence under the new table, or the lost
 * owners can no longer make up a majority and the sides' confirmations have
 * run out.
 */
import { ownerOf } from "@coltsfootreach/ownership";
import {
  EMPTY_TABLE,
  type EvidenceGaps,
  type JobId,
  type Table,
} from "@coltsfootreach/types";
import { createRegistry, type Instant, type Registry } from "./registry.ts";

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
}

interface Transition {
  readonly from: Table;
  /** The version that made this transition. */
  readonly madeAt: number;
  /** Other members who may have confirmed a table before this one. */
  readonly witnesses: readonly string[];
  /** Evidence must be given under this version or a newer one. */
  evidenceVersion: number;
  /** Members whose records may still be on their way. */
  readonly waitingFor: Set<string>;
  needsEvidence: boolean;
  /** An owner went without a word and may still ask sides for starts. */
  needsFence: boolean;
  /** False until a member has named the sides that it knows. */
  knowsSides: boolean;
  /** Since when nobody confirms an older table; undefined until so. */
  fencedAtMs: number | undefined;
}

/** Keys whose tasks may have been started on a side that is gone. */
interface Gap {
  readonly from: Table;
  readonly bornBeforeWallMs: number;
  readonly untilMs: number;
}

export interface HandedOver {
  readonly entry: string;
  readonly tableVersion: number;
  readonly doubt: EvidenceGaps;
}

export interface Settlement {
  readonly registry: Registry;
  adopt(table: Table, nowMs: number): void;
  table(): Table;
  /** A member says that it follows a table version. */
  follows(entry: string, tableVersion: number): void;
  /** A member has handed over all it had for a table version. */
  handedOver(handedOver: HandedOver, nowMs: number): void;
  /** What to tell others with the records that are handed over to them. */
  doubt(nowMs: number): EvidenceGaps;
  /** Operators have declared these incarnations gone for good. */
  declareGone(entries: ReadonlySet<string>): void;
  /** Forgets registrations that no member will ever use again. */
  forgetLost(): void;
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
  /** Changes of the table after which keys still wait, oldest first. */
  openChanges(): readonly OpenChange[];
  /** The newest table by which this entry gave up keys; 0 if never. */
  keptSince(): number;
}

/** What a change of the table still waits for. */
export interface OpenChange {
  readonly tableVersion: number;
  /** Incarnations of entries that have not handed over. */
  readonly entries: readonly string[];
  /** Incarnations of sides that have not given the evidence that is needed. */
  readonly sides: readonly string[];
}

export function createSettlement(options: SettlementOptions): Settlement {
  const registry = createRegistry();
  const followed = new Map<string, number>();
  const gone = new Set<string>();
  /** Names of all members of the tables adopted so far. */
  const names = new Map<string, string>();
  let table: Table = EMPTY_TABLE;
  let transitions: Transition[] = [];
  let gaps: Gap[] = [];
  let collectVersion = 0;
  let doubtVersion = 0;
  let keptSince = 0;

  function others(): Set<string> {
    const members = table.members.map((member) => member.incarnation);
    return new Set(members.filter((member) => member !== options.me));
  }

  function wantEvidence(transition: Transition): void {
    transition.needsEvidence = true;
    transition.evidenceVersion = table.version;
    transition.fencedAtMs = undefined;
    collectVersion = table.version;
  }

  /** Members that went before they had handed over everything. */
  function applyLosses(): void {
    const members = others();
    for (const transition of transitions) {
      const lost = [...transition.waitingFor].filter((entry) =>
        !members.has(entry)
      );
      if (lost.length === 0) continue;
      lost.forEach((entry) => transition.waitingFor.delete(entry));
      transition.needsFence = true;
      wantEvidence(transition);
    }
  }

  function removalsSince(version: number): readonly string[] {
    return table.removals
      .filter((removal) => removal.version > version)
      .map((removal) => removal.incarnation);
  }

  function adopt(next: Table, nowMs: number): void {
    if (next.version <= table.version) return;
    const previous = table;
    table = next;
    for (const { incarnation, name } of next.members) {
      names.set(incarnation, name);
    }
    if (givesUpKeys(previous)) keptSince = next.version;
    applyLosses();
    if (transitions.some((transition) => transition.needsEvidence)) {
      doubtVersion = next.version;
    }
    const transition = transitionFrom(previous);
    transitions.push(transition);
    // Keys of the lost owner may have gone straight to a member that is new.
    if (transition.needsEvidence && hasNewMember(previous)) {
      doubtVersion = next.version;
    }
    if (transition.needsEvidence) collectVersion = table.version;
    for (const entry of followed.keys()) {
      if (!others().has(entry)) followed.delete(entry);
    }
    gaps = gaps.filter((gap) => gap.untilMs > nowMs);
    forgetLost();
  }

  function hasNewMember(previous: Table): boolean {
    return table.members.some(({ incarnation }) =>
      !previous.members.some((member) => member.incarnation === incarnation)
    );
  }

  /** True when an owner has come, or this entry is none any more. */
  function givesUpKeys(previous: Table): boolean {
    const owners = previous.members.filter((member) => !member.draining);
    const isOwner = ({ incarnation }: { readonly incarnation: string }) =>
      owners.some((owner) => owner.incarnation === incarnation);
    const now = table.members.filter((member) => !member.draining);
    const isNone = !now.some((member) => member.incarnation === options.me);
    return isNone || now.some((member) => !isOwner(member));
  }

  function transitionFrom(previous: Table): Transition {
    const isNew = previous.version === 0;
    const waitingFor = others();
    // With nobody to hand over, the sides alone know of earlier jobs.
    const isAlone = isNew && waitingFor.size === 0 && table.version > 1;
    const isOwnerLost = !isNew && hasLostOwner(previous);
    const former = isNew ? table : previous;
    return {
      from: previous,
      madeAt: table.version,
      witnesses: former.members
        .map((member) => member.incarnation)
        .filter((incarnation) => incarnation !== options.me),
      evidenceVersion: table.version,
      waitingFor,
      needsEvidence: isAlone || isOwnerLost,
      needsFence: isAlone || isOwnerLost,
      knowsSides: !isNew || table.version === 1,
      fencedAtMs: undefined,
    };
  }

  /** True when a member has gone that had not given up its keys. */
  function hasLostOwner(previous: Table): boolean {
    const present = new Set(table.members.map((one) => one.incarnation));
    const hasVanished = previous.members.some((member) =>
      !member.draining && !present.has(member.incarnation)
    );
    return hasVanished || removalsSince(previous.version).length > 0;
  }

  /** The name of a member that was removed before this entry joined. */
  function removedName(entry: string): string | undefined {
    return table.removals.find((removal) => removal.incarnation === entry)
      ?.name;
  }

  /** True when another run of the same entry shows that this one is over. */
  function isReplaced(entry: string): boolean {
    const name = names.get(entry) ?? removedName(entry);
    return table.members.some((member) =>
      member.name === name && member.incarnation !== entry
    );
  }

  /** True when no majority of any earlier table can confirm it any more. */
  function isFenced(transition: Transition): boolean {
    const members = others();
    for (const entry of members) {
      if ((followed.get(entry) ?? 0) < transition.evidenceVersion) return false;
    }
    const { witnesses, from } = transition;
    const all = new Set([...witnesses, ...removalsSince(from.version)]);
    const absent =
      [...all].filter((entry) =>
        !members.has(entry) && !gone.has(entry) && !isReplaced(entry)
      ).length;
    const me = from.version === 0 ? 0 : 1;
    const majority = Math.floor((all.size + me) / 2) + 1;
    return absent < majority;
  }

  function hasEvidence(transition: Transition, now: Instant): boolean {
    const missing = registry.withoutEvidence(transition.evidenceVersion);
    if (missing.length === 0 && transition.knowsSides) {
      noteEndedSides(transition);
      return true;
    }
    if (transition.needsFence && !isFenced(transition)) return false;
    transition.fencedAtMs ??= now.nowMs;
    const waitMs = options.freshnessMs * (1 + CLOCK_DRIFT);
    if (now.nowMs - transition.fencedAtMs < waitMs) return false;
    addGap(transition.from, now);
    return true;
  }

  /** What ran on a side that has ended since cannot be told any more. */
  function noteEndedSides(transition: Transition): void {
    const ending = registry.lastEnding();
    if (ending !== undefined) addGap(transition.from, ending);
  }

  function addGap(from: Table, at: Instant): void {
    const { skewMs, windowMs } = options;
    const bornBeforeWallMs = at.wallMs + skewMs;
    const untilMs = at.nowMs + windowMs + 2 * skewMs;
    gaps.push({ from, bornBeforeWallMs, untilMs });
  }

  function canSettle(transition: Transition, now: Instant): boolean {
    if (transition.waitingFor.size > 0) return false;
    if (!transition.knowsSides && !transition.needsEvidence) {
      // Only other new members were there: the sides alone know.
      transition.needsFence = true;
      wantEvidence(transition);
    }
    return !transition.needsEvidence || hasEvidence(transition, now);
  }

  function owns(from: Table, job: JobId): boolean {
    return ownerOf(from, job)?.incarnation === options.me;
  }

  /** Registrations are kept while a lost owner may have used them. */
  function forgetLost(): void {
    const isOpen = transitions.some((transition) => transition.needsEvidence);
    if (!isOpen) registry.forgetLost(table, options.me);
  }

  function takeDoubt(
    transition: Transition,
    { doubt }: HandedOver,
    nowMs: number,
  ): void {
    const { bornBeforeWallMs, leftMs } = doubt;
    if (leftMs > 0) {
      const untilMs = nowMs + leftMs;
      gaps.push({ from: transition.from, bornBeforeWallMs, untilMs });
    }
    if (doubt.tableVersion <= transition.from.version) return;
    if (transition.madeAt < table.version) doubtVersion = table.version;
    wantEvidence(transition);
  }

  return {
    registry,
    adopt,
    table: () => table,
    follows(entry, tableVersion) {
      const known = followed.get(entry) ?? 0;
      followed.set(entry, Math.max(known, tableVersion));
    },
    handedOver(handedOver, nowMs) {
      const { entry, tableVersion } = handedOver;
      for (const transition of transitions) {
        if (tableVersion < transition.madeAt) continue;
        if (!transition.waitingFor.delete(entry)) continue;
        transition.knowsSides ||= !handedOver.doubt.isNew;
        takeDoubt(transition, handedOver, nowMs);
      }
    },
    doubt(nowMs) {
      const open = gaps.filter((gap) => gap.untilMs > nowMs);
      return {
        tableVersion: doubtVersion,
        bornBeforeWallMs: Math.max(
          0,
          ...open.map((gap) => gap.bornBeforeWallMs),
        ),
        leftMs: Math.max(0, ...open.map((gap) => gap.untilMs - nowMs)),
        isNew: transitions[0]?.from.version === 0,
      };
    },
    declareGone(entries) {
      entries.forEach((entry) => gone.add(entry));
    },
    forgetLost,
    tick(now) {
      registry.dateEndings(now);
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
    keptSince: () => keptSince,
    openChanges() {
      return transitions.map((transition) => ({
        tableVersion: transition.madeAt,
        entries: [...transition.waitingFor],
        sides: transition.needsEvidence
          ? registry.withoutEvidence(transition.evidenceVersion)
          : [],
      }));
    },
  };
}
