/**
 * What the parts of an entry's core share: its state and the messages that it
 * is about to send.
 */
import { createRecords, type Records } from "@coltsfootreach/admit";
import {
  createOutlierDetector,
  type OutlierDetector,
} from "@coltsfootreach/place";
import { createSettlement, type Settlement } from "@coltsfootreach/takeover";
import type {
  EntryMessage,
  PeerMessage,
  Refusal,
  Reply,
} from "@coltsfootreach/types";
import {
  type ConfigurationDesk,
  createConfigurationDesk,
} from "./configuration_desk.ts";
import { createDepartures, type Departures } from "./departures.ts";
import type { EntryEffect, EntryOptions, NewAct, UndoneAct } from "./effect.ts";
import { createOutgoing, type Outgoing } from "./outgoing.ts";
import { createWaiters, type Origin, type Waiters } from "./requests.ts";
import { createShedding, type Shedding } from "./shedding.ts";
import { createSides, type Sides } from "./sides.ts";
import { createStandingActs } from "./standing_acts.ts";

export interface EntryContext {
  /** Incarnation of this entry. */
  readonly me: string;
  readonly options: EntryOptions;
  readonly records: Records;
  readonly sides: Sides;
  readonly settlement: Settlement;
  readonly waiters: Waiters;
  readonly outgoing: Outgoing;
  readonly configuration: ConfigurationDesk;
  readonly health: OutlierDetector;
  readonly connectedPeers: Set<string>;
  /** How long this entry is a member for certain, by its own lease. */
  readonly membership: { certainUntilMs: number };
  toSide(side: string, message: EntryMessage, lazy?: boolean): void;
  toPeer(entry: string, message: PeerMessage): void;
  reply(origin: Origin, answer: Reply): void;
  refuse(origin: Origin, refusal: Refusal): void;
  emit(effect: EntryEffect): void;
  /** Records something that the core did by itself. */
  act(act: ActDescription): void;
  /** Records that an act no longer stands. */
  undone(act: UndoneAct): void;
  readonly departures: Departures;
  readonly shedding: Shedding;
  /** Takes out the messages to send. */
  flush(): readonly EntryEffect[];
}

/** An act without what every act has. */
export type ActDescription = Omit<NewAct, "atMs" | "configurationVersion">;

export function createEntryContext(options: EntryOptions): EntryContext {
  const me = options.member.incarnation;
  let effects: EntryEffect[] = [];

  function flush(): readonly EntryEffect[] {
    const out = effects;
    effects = [];
    return out;
  }

  function toSide(side: string, message: EntryMessage, lazy = false): void {
    effects.push({ kind: "toSide", side, message, lazy });
  }

  function toPeer(entry: string, message: PeerMessage): void {
    effects.push({ kind: "toPeer", entry, message });
  }

  function reply(origin: Origin, answer: Reply): void {
    const { request } = origin;
    if (origin.kind === "local") {
      effects.push({ kind: "reply", request, reply: answer });
    } else {
      toPeer(origin.entry, { kind: "reply", request, reply: answer });
    }
  }

  function refuse(origin: Origin, refusal: Refusal): void {
    reply(origin, { kind: "refused", refusal });
  }

  const sides = createSides();
  const connectedPeers = new Set<string>();
  const configuration = createConfigurationDesk(
    { options, sides, connectedPeers, toSide, toPeer },
    options.holder,
  );
  const health = createOutlierDetector({
    rules: () => ({
      ...configuration.rules(),
      configurationVersion: configuration.version(),
    }),
    sides: () => sides.liveCount(),
    nextId: () => "",
  });

  function act(description: ActDescription): void {
    const configurationVersion = configuration.version();
    const atMs = options.wallMs();
    effects.push({
      kind: "act",
      act: { ...description, configurationVersion, atMs },
    });
  }

  function undone(undoneAct: UndoneAct): void {
    const atMs = options.wallMs();
    effects.push({ kind: "actUndone", act: undoneAct, atMs });
  }

  const settlement = createSettlement({
    me,
    freshnessMs: options.freshnessMs,
    windowMs: options.records.windowMs,
    skewMs: options.records.skewMs,
  });
  const acts = createStandingActs({ act, undone });
  const departures = createDepartures({
    acts,
    sidesKnown: () => settlement.registry.registrations().length,
    rules: () => configuration.rules(),
  });

  return {
    me,
    options,
    records: createRecords(options.records),
    sides,
    settlement,
    waiters: createWaiters(),
    outgoing: createOutgoing(),
    configuration,
    health,
    connectedPeers,
    membership: { certainUntilMs: Infinity },
    toSide,
    toPeer,
    reply,
    refuse,
    emit: (effect) => effects.push(effect),
    act,
    undone,
    departures,
    shedding: createShedding(acts),
    flush,
  };
}
