/**
 * Losses of one rule of the protocol each, made by wrapping the real cores or
 * by their options. The exploration must notice every one of them.
 */
import {
  createEntryCore,
  type EntryCore,
  type EntryOptions,
} from "@coltsfootreach/coordinate";
import {
  createGuard,
  type Guard,
  type GuardEffect,
  type GuardOptions,
} from "@coltsfootreach/guard";
import type { Mutation } from "@coltsfootreach/scenario";
import type {
  EntryFrame,
  EvidenceGaps,
  Start,
  Table,
} from "@coltsfootreach/types";
import type { World } from "./world.ts";
import {
  CROWDED,
  ISOLATED_OWNER,
  LATE_TABLE,
  LOST_OWNER,
  LOST_SIDE,
  NEW_SIDE,
  REFUSED_START,
  UNHEARD_SIDE,
  UNPROVEN_KEYS,
} from "./worlds.ts";

export interface NamedMutation {
  readonly name: string;
  readonly mutation: Mutation;
  /** The world in which it shows. */
  readonly world: World;
}

function nameOf({ job, index }: Start): string {
  return `${job}#${index}`;
}

function startsOf(frame: EntryFrame): readonly Start[] {
  return frame.messages.filter((message) => message.kind === "start");
}

/** A side that runs whatever it is asked to, once. */
function createUnfencedGuard(options: GuardOptions): Guard {
  const guard = createGuard(options);
  const ran = new Set<string>();

  function note(effects: readonly GuardEffect[]): readonly GuardEffect[] {
    for (const effect of effects) {
      if (effect.kind === "run") ran.add(nameOf(effect.start));
    }
    return effects;
  }

  function isFencedOff(effect: GuardEffect): boolean {
    return effect.kind === "send" && effect.message.kind === "refused" &&
      (effect.message.reason === "staleTable" ||
        effect.message.reason === "notOwner" ||
        effect.message.reason === "unconfirmedTable");
  }

  return {
    ...guard,
    receive(frame, nowMs) {
      const effects = note(guard.receive(frame, nowMs));
      const kept = effects.filter((effect) => !isFencedOff(effect));
      if (kept.length === effects.length) return effects;
      const runs = startsOf(frame)
        .filter((start) => !ran.has(nameOf(start)))
        .map((start): GuardEffect => ({ kind: "run", start }));
      return [...kept, ...note(runs)];
    },
    ended: (job, outcome, nowMs) => note(guard.ended(job, outcome, nowMs)),
    tick: (nowMs) => note(guard.tick(nowMs)),
  };
}

/** A side that trusts a table for ever once it was confirmed. */
function createTrustingGuard(options: GuardOptions): Guard {
  return createGuard({ ...options, freshnessMs: Infinity });
}

/** A side that runs the starts that a change of owner took from its queue. */
function createHoardingGuard(options: GuardOptions): Guard {
  const guard = createGuard(options);
  const waiting = new Map<string, Start>();

  function note(effects: readonly GuardEffect[]): readonly GuardEffect[] {
    for (const effect of effects) {
      if (effect.kind === "run") waiting.delete(nameOf(effect.start));
      const isRefusal = effect.kind === "send" &&
        effect.message.kind === "refused";
      if (isRefusal) {
        const { job, index } = effect.message as { job: string; index: number };
        waiting.delete(`${job}#${index}`);
      }
    }
    return effects;
  }

  return {
    ...guard,
    receive(frame, nowMs) {
      for (const start of startsOf(frame)) waiting.set(nameOf(start), start);
      const version = guard.table().version;
      const effects = note(guard.receive(frame, nowMs));
      if (guard.table().version === version) return effects;
      const runs = [...waiting.values()].map((start): GuardEffect => ({
        kind: "run",
        start,
      }));
      waiting.clear();
      return [...effects, ...runs];
    },
    ended: (job, outcome, nowMs) => note(guard.ended(job, outcome, nowMs)),
    tick: (nowMs) => note(guard.tick(nowMs)),
  };
}

/** A side that takes in every frame, whatever its number. */
function createUnnumberedGuard(options: GuardOptions): Guard {
  const guard = createGuard(options);
  let sequence = 0;
  return {
    ...guard,
    receive(frame, nowMs) {
      sequence += 1;
      return guard.receive({ ...frame, sequence }, nowMs);
    },
  };
}

/** A side that starts tasks although not every member has heard of it. */
function createUnregisteredGuard(options: GuardOptions): Guard {
  const guard = createGuard(options);
  const heard = new Set<string>();

  /** As if every member had echoed the newest stamp. */
  function feignEchoes(nowMs: number): void {
    for (const { incarnation } of guard.table().members) {
      if (heard.has(incarnation)) continue;
      guard.receive({
        entry: incarnation,
        sequence: 0,
        tableVersion: 0,
        configurationVersion: 0,
        echoedStampMs: nowMs,
        readStampMs: -1,
        ack: 0,
        messages: [],
      }, nowMs);
    }
  }

  return {
    ...guard,
    receive(frame, nowMs) {
      feignEchoes(nowMs);
      heard.add(frame.entry);
      return guard.receive(frame, nowMs);
    },
  };
}

/** An entry that acts for moved keys at once. */
function createHastyCore(options: EntryOptions): EntryCore {
  const core = createEntryCore(options);
  Object.assign(core.settlement, { isSettled: () => true });
  return core;
}

/** An entry that starts a task again whose fate is unknown. */
function createRetryingCore(options: EntryOptions): EntryCore {
  const core = createEntryCore(options);
  const { end } = core.records;
  Object.assign(core.records, {
    end(...[record, outcome, nowMs]: Parameters<typeof end>) {
      const task = record.tasks[outcome.index];
      const isInDoubt = outcome.verdict === "mayHaveRun" &&
        task?.kind === "sent" && record.job !== undefined;
      if (!isInDoubt) return end(record, outcome, nowMs);
      core.records.refused(record, outcome.index, task.attempt);
      options.queue.requeue({
        job: record.id,
        index: outcome.index,
        tenant: record.job!.tenant,
        class: record.job!.class,
        deadlineAtMs: record.deadlineAtMs,
        declaredMs: record.job!.tasks[outcome.index]!.declaredMs,
      });
      return undefined;
    },
  });
  return core;
}

/** An entry that follows whatever table it hears of last. */
function createForgetfulCore(options: EntryOptions): EntryCore {
  const core = createEntryCore(options);
  const { settlement } = core;
  const newest = settlement.table;
  let older: Table | undefined;
  Object.assign(settlement, { table: () => older ?? newest() });

  function follow(table: Table): void {
    const isOlder = table.version < newest().version &&
      table.members.some((member) =>
        member.incarnation === options.member.incarnation
      );
    older = isOlder ? table : undefined;
  }

  return {
    ...core,
    tableRead(read, nowMs) {
      follow(read.table);
      return core.tableRead(read, nowMs);
    },
    tableLearned(table, nowMs) {
      follow(table);
      return core.tableLearned(table, nowMs);
    },
  };
}

/** An entry that takes a side that has ended for one that never was. */
function createUnrememberingCore(options: EntryOptions): EntryCore {
  const core = createEntryCore(options);
  const { registry } = core.settlement;
  Object.assign(registry, { lastEnding: () => undefined });
  return core;
}

/** An entry that hands over its keys as if it knew all about them. */
function createCertainCore(options: EntryOptions): EntryCore {
  const core = createEntryCore(options);
  const doubt: EvidenceGaps = {
    tableVersion: 0,
    bornBeforeWallMs: 0,
    leftMs: 0,
    isNew: false,
  };
  Object.assign(core.settlement, { doubt: () => doubt });
  return core;
}

export const MUTATIONS: readonly NamedMutation[] = [
  {
    name: "sides do not check owner, version and freshness",
    mutation: { createGuard: createUnfencedGuard },
    world: ISOLATED_OWNER,
  },
  {
    name: "a new owner does not wait",
    mutation: { createCore: createHastyCore },
    world: UNHEARD_SIDE,
  },
  {
    name: "a task that may have run is started again",
    mutation: { createCore: createRetryingCore },
    world: LOST_SIDE,
  },
  {
    name: "a confirmation of the table never runs out",
    mutation: { createGuard: createTrustingGuard },
    world: ISOLATED_OWNER,
  },
  {
    name: "an older table is accepted",
    mutation: { createCore: createForgetfulCore },
    world: LATE_TABLE,
  },
  {
    name: "queued starts are kept when their owner changes",
    mutation: { createGuard: createHoardingGuard },
    world: CROWDED,
  },
  {
    name: "frame numbers are not checked",
    mutation: { createGuard: createUnnumberedGuard },
    world: REFUSED_START,
  },
  {
    name: "a side need not be known to every member",
    mutation: { createGuard: createUnregisteredGuard },
    world: NEW_SIDE,
  },
  {
    name: "sides that have ended are not remembered",
    mutation: { createCore: createUnrememberingCore },
    world: LOST_SIDE,
  },
  {
    name: "what is unknown of moved keys is not passed on",
    mutation: { createCore: createCertainCore },
    world: UNPROVEN_KEYS,
  },
  {
    name: "evidence of starts is not kept",
    mutation: { limits: { keepEvidenceMs: 0 } },
    world: LOST_OWNER,
  },
];
