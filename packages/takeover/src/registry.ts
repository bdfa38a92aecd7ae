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
  /** The side's name in its settings, once it has said hello here. */
  name: string | undefined;
  /** The newest table version under which it has given evidence. */
  evidenceVersion: number;
  /** Entries that have declared this registration lost. */
  readonly lostBy: Set<string>;
}

export interface RegistryOptions {
  /** Incarnation of this entry. */
  readonly me: string;
  /** Unix time in milliseconds. */
  wallMs(): number;
}

export interface Registry {
  /** A side has said hello; an earlier run under its name is over. */
  hello(name: string, registration: Registration): void;
  /** Another entry knows this registration. */
  hearOf(registration: Registration): void;
  evidence(incarnation: string, tableVersion: number): void;
  /** The side has promised to start nothing any more. */
  goodbye(incarnation: string): void;
  lost(registration: Registration, by: string): void;
  /**
   * Forgets registrations that every member has declared lost. A side that
   * never said hello to this entry counts as lost here.
   */
  forgetLost(table: Table): void;
  /** True when the side must register anew with every member. */
  isLostBy(registration: Registration, by: string): boolean;
  /** The newest table version under which a side has given evidence. */
  evidenceVersionOf(incarnation: string): number;
  /** Sides that have not given evidence under `tableVersion` or a newer one. */
  withoutEvidence(tableVersion: number): readonly string[];
  registrations(): readonly Registration[];
  /**
   * When a registration was last found to have ended with the evidence of its
   * starts, in Unix milliseconds; -Infinity if never.
   */
  lastDepartureWallMs(): number;
  /** Another entry has seen a side depart. */
  hearOfDeparture(wallMs: number): void;
}

export function createRegistry(options: RegistryOptions): Registry {
  const sides = new Map<string, KnownSide>();
  /** The newest ended registration of each run. */
  const ended = new Map<string, number>();
  let lastDepartureWallMs = -Infinity;

  function isOver({ incarnation, registration }: Registration): boolean {
    return registration <= (ended.get(incarnation) ?? 0);
  }

  function end(incarnation: string): void {
    const side = sides.get(incarnation);
    if (side === undefined) return;
    sides.delete(incarnation);
    ended.set(incarnation, side.registration.registration);
    lastDepartureWallMs = options.wallMs();
  }

  function know(registration: Registration): KnownSide | undefined {
    if (isOver(registration)) return undefined;
    const known = sides.get(registration.incarnation);
    const isCurrent = known !== undefined &&
      known.registration.registration >= registration.registration;
    if (isCurrent) return known;
    const side: KnownSide = {
      registration,
      name: known?.name,
      evidenceVersion: known?.evidenceVersion ?? 0,
      lostBy: new Set(),
    };
    sides.set(registration.incarnation, side);
    return side;
  }

  return {
    hello(name, registration) {
      for (const [incarnation, side] of sides) {
        const isEarlierRun = side.name === name &&
          incarnation !== registration.incarnation;
        if (isEarlierRun) end(incarnation);
      }
      const side = know(registration);
      if (side !== undefined) side.name = name;
    },
    hearOf(registration) {
      know(registration);
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
    forgetLost(table) {
      for (const [incarnation, side] of sides) {
        const isLost = table.members.every((member) =>
          side.lostBy.has(member.incarnation) ||
          member.incarnation === options.me && side.name === undefined
        );
        if (isLost) end(incarnation);
      }
    },
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
    registrations() {
      return [...sides.values()].map((side) => side.registration);
    },
    lastDepartureWallMs: () => lastDepartureWallMs,
    hearOfDeparture(wallMs) {
      lastDepartureWallMs = Math.max(lastDepartureWallMs, wallMs);
    },
  };
}
