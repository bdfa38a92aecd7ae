/**
 * The registrations of sides that an entry knows. A side starts tasks only
 * once every member of the table has heard its registration, so the registry
 * holds every side on which a lost entry could have started a task. A
 * registration that is over leaves no evidence behind, so the registry keeps
 * when the last one ended.
 */
import type { Registration, Table } from "@coltsfootreach/types";

interface KnownSide {
  readonly registration: Registration;
  /** When this entry learned of it, by a hello or from another entry. */
  readonly learnedAtMs: number;
  /** The side's name in its settings, once it has said hello here. */
  name: string | undefined;
  /** The newest table version under which it has given evidence. */
  evidenceVersion: number;
  /** Entries that have declared this registration lost. */
  readonly lostBy: Set<string>;
}

/** Endings that are told to other entries. */
const MAX_ENDINGS = 256;

/** Time on the process's clock and in Unix milliseconds. */
export interface Instant {
  readonly nowMs: number;
  readonly wallMs: number;
}

export interface Registry {
  /** A side has said hello; an earlier run under its name is over. */
  hello(name: string, registration: Registration, nowMs: number): void;
  /** Another entry knows this registration. */
  hearOf(registration: Registration, nowMs: number): void;
  /**
   * This run is alive, so other runs under its name are over unless this entry
   * learned of them after `sinceMs`, when they may be newer.
   */
  noteAlive(name: string, incarnation: string, sinceMs: number): void;
  evidence(incarnation: string, tableVersion: number): void;
  /** The side has promised to start nothing any more. */
  goodbye(incarnation: string): void;
  lost(registration: Registration, by: string): void;
  /**
   * Forgets registrations that every member has declared lost. A side that
   * never said hello to this entry, `me`, counts as lost here.
   */
  forgetLost(table: Table, me: string): void;
  /** False for a run of a side that is over, or that nobody has named. */
  isKnown(incarnation: string): boolean;
  /** True when the side must register anew with every member. */
  isLostBy(registration: Registration, by: string): boolean;
  /** The newest table version under which a side has given evidence. */
  evidenceVersionOf(incarnation: string): number;
  /** Sides that have not given evidence under `tableVersion` or a newer one. */
  withoutEvidence(tableVersion: number): readonly string[];
  registrations(): readonly Registration[];
  /** The newest ended registrations, for entries that still wait for them. */
  endings(): readonly Registration[];
  /** Another entry knows that this registration is over. */
  endedElsewhere(registration: Registration): void;
  /** Dates the registrations that have ended since the last call. */
  dateEndings(now: Instant): void;
  /** Another entry has seen a registration end. */
  hearOfEnding(ending: Instant): void;
  /** When the last registration was found to have ended, if ever. */
  lastEnding(): Instant | undefined;
}

export function createRegistry(): Registry {
  const sides = new Map<string, KnownSide>();
  /** The newest ended registration of each run. */
  const ended = new Map<string, number>();
  let endings: readonly Registration[] = [];
  let hasUndatedEnding = false;
  let lastEnding: Instant | undefined;

  function isOver({ incarnation, registration }: Registration): boolean {
    return registration <= (ended.get(incarnation) ?? 0);
  }

  function end(incarnation: string): void {
    const side = sides.get(incarnation);
    if (side === undefined) return;
    sides.delete(incarnation);
    ended.set(incarnation, side.registration.registration);
    endings = [...endings, side.registration].slice(-MAX_ENDINGS);
    hasUndatedEnding = true;
  }

  function know(
    registration: Registration,
    nowMs: number,
  ): KnownSide | undefined {
    if (isOver(registration)) return undefined;
    const known = sides.get(registration.incarnation);
    const isCurrent = known !== undefined &&
      known.registration.registration >= registration.registration;
    if (isCurrent) return known;
    const side: KnownSide = {
      registration,
      learnedAtMs: known?.learnedAtMs ?? nowMs,
      name: known?.name,
      evidenceVersion: known?.evidenceVersion ?? 0,
      lostBy: new Set(),
    };
    sides.set(registration.incarnation, side);
    return side;
  }

  return {
    hello(name, registration, nowMs) {
      for (const [incarnation, side] of sides) {
        const isEarlierRun = nameOf(side) === name &&
          incarnation !== registration.incarnation;
        if (isEarlierRun) end(incarnation);
      }
      const side = know(registration, nowMs);
      if (side !== undefined) side.name = name;
    },
    hearOf(registration, nowMs) {
      know(registration, nowMs);
    },
    noteAlive(name, alive, sinceMs) {
      for (const [incarnation, side] of sides) {
        const isOther = nameOf(side) === name && incarnation !== alive;
        if (isOther && side.learnedAtMs < sinceMs) end(incarnation);
      }
    },
    evidence(incarnation, tableVersion) {
      const side = sides.get(incarnation);
      if (side === undefined) return;
      side.evidenceVersion = Math.max(side.evidenceVersion, tableVersion);
    },
    goodbye: end,
    lost(registration, by) {
      const side = sides.get(registration.incarnation);
      const isSame =
        side?.registration.registration === registration.registration;
      if (isSame) side!.lostBy.add(by);
    },
    forgetLost(table, me) {
      for (const [incarnation, side] of sides) {
        const isLost = table.members.every((member) =>
          side.lostBy.has(member.incarnation) ||
          member.incarnation === me && side.name === undefined
        );
        if (isLost) end(incarnation);
      }
    },
    isKnown: (incarnation) => sides.has(incarnation),
    isLostBy(registration, by) {
      if (isOver(registration)) return true;
      const side = sides.get(registration.incarnation);
      return side !== undefined && side.lostBy.has(by) &&
        side.registration.registration === registration.registration;
    },
    evidenceVersionOf(incarnation) {
      return sides.get(incarnation)?.evidenceVersion ?? 0;
    },
    withoutEvidence(tableVersion) {
      const missing: string[] = [];
      for (const [incarnation, side] of sides) {
        if (side.evidenceVersion < tableVersion) missing.push(incarnation);
      }
      return missing;
    },
    endings: () => endings,
    endedElsewhere({ incarnation, registration }) {
      const side = sides.get(incarnation);
      if (side === undefined) return;
      if (side.registration.registration <= registration) end(incarnation);
    },
    registrations() {
      return [...sides.values()].map((side) => ({
        ...side.registration,
        side: nameOf(side),
      }));
    },
    dateEndings(now) {
      if (!hasUndatedEnding) return;
      hasUndatedEnding = false;
      lastEnding = now;
    },
    hearOfEnding(ending) {
      if (ending.wallMs > (lastEnding?.wallMs ?? 0)) lastEnding = ending;
    },
    lastEnding: () => lastEnding,
  };
}

function nameOf(side: KnownSide): string | undefined {
  return side.name ?? side.registration.side;
}
