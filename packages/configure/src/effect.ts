/**
 * What a change of configuration does to running work, in the words that an
 * operator reads before applying it.
 */
import type { ActionKind, ParsedConfiguration } from "@coltsfootreach/types";

/** What runs and waits at the moment, as the entries report it. */
export interface Running {
  readonly servers: readonly RunningServer[];
  readonly tenants: readonly RunningTenant[];
  readonly classes: readonly RunningClass[];
  /** Incarnations of live entries. */
  readonly entries: readonly string[];
}

export interface RunningServer {
  readonly server: string;
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
}

export interface RunningTenant {
  readonly tenant: string;
  readonly waiting: number;
  readonly running: number;
}

export interface RunningClass {
  readonly class: string;
  readonly waiting: number;
  readonly running: number;
}

export const NOTHING_RUNNING: Running = {
  servers: [],
  tenants: [],
  classes: [],
  entries: [],
};

/** A warning asks for a second look; a notice only tells. */
export interface Effect {
  readonly severity: "notice" | "warning";
  readonly subject: string;
  readonly text: string;
}

export interface EffectContext {
  readonly from: ParsedConfiguration;
  readonly to: ParsedConfiguration;
  readonly running: Running;
}

export function findEffects(context: EffectContext): readonly Effect[] {
  return [
    ...drainEffects(context),
    ...capacityEffects(context),
    ...serverEffects(context),
    ...tenantEffects(context),
    ...classEffects(context),
    ...ruleEffects(context),
  ];
}

function notice(subject: string, text: string): Effect {
  return { severity: "notice", subject, text };
}

function warning(subject: string, text: string): Effect {
  return { severity: "warning", subject, text };
}

function drainEffects(context: EffectContext): Effect[] {
  const { running } = context;
  const { added, removed } = compareLists(context, "drained");
  const begun = added.map((name) => {
    const server = running.servers.find((item) => item.server === name);
    if (server === undefined) {
      return warning(name, "is drained, but no such backend server is present");
    }
    return notice(
      name,
      `gets no new work; ${server.running} running tasks end as usual and ` +
        `${server.queued} queued ones go elsewhere`,
    );
  });
  const ended = removed.map((name) => notice(name, "takes work again"));
  return [...begun, ...ended];
}

function capacityEffects({ from, to, running }: EffectContext): Effect[] {
  const slots = countSlots(running.servers, []);
  const slotsBefore = countSlots(running.servers, from.rules.drained);
  const slotsLeft = countSlots(running.servers, to.rules.drained);
  if (slotsLeft >= slotsBefore) return [];
  if (slotsLeft === 0) {
    return [warning("capacity", "no backend server is left to take work")];
  }
  const busy = sum(running.servers.map((server) => server.running));
  const text = `${slotsLeft} of ${slots} slots stay in use; ${busy} are busy`;
  return [
    busy > slotsLeft ? warning("capacity", text) : notice("capacity", text),
  ];
}

function countSlots(
  servers: readonly RunningServer[],
  drained: readonly string[],
): number {
  const left = servers.filter(({ server }) => !drained.includes(server));
  return sum(left.map(({ slots }) => slots));
}

function serverEffects({ from, to, running }: EffectContext): Effect[] {
  const after = new Set(to.servers.map(({ name }) => name));
  return from.servers
    .filter(({ name }) => !after.has(name))
    .filter(({ name }) => running.servers.some(({ server }) => server === name))
    .map(({ name }) =>
      warning(
        name,
        "leaves the inventory while present; it goes on taking work, drain " +
          "it to stop that",
      )
    );
}

function tenantEffects({ from, to, running }: EffectContext): Effect[] {
  return from.tenants.flatMap((old) => {
    const now = to.tenants.find(({ name }) => name === old.name);
    const work = running.tenants.find(({ tenant }) => tenant === old.name);
    const waiting = work?.waiting ?? 0;
    if (now === undefined) {
      const text = `is removed: new jobs are refused; ${waiting} waiting and ` +
        `${work?.running ?? 0} running tasks are carried to their end`;
      return [warning(old.name, text)];
    }
    const effects: Effect[] = [];
    if (now.maxQueued < old.maxQueued && waiting > now.maxQueued) {
      const text = `has ${waiting} tasks waiting, more than the new bound of ` +
        `${now.maxQueued}: they stay, new jobs are refused until they drain`;
      effects.push(warning(old.name, text));
    }
    if (isLowerRate(old.startsPerSecond, now.startsPerSecond)) {
      const text =
        `starts at most ${now.startsPerSecond} tasks a second from ` +
        `now on; ${waiting} wait`;
      effects.push(notice(old.name, text));
    }
    if (now.weight !== old.weight) {
      const text = `share when all have work: ${shareOf(from, old.name)} to ` +
        shareOf(to, old.name);
      effects.push(notice(old.name, text));
    }
    return effects;
  });
}

/** 0 means no limit. */
function isLowerRate(from: number, to: number): boolean {
  return to !== 0 && (from === 0 || to < from);
}

function shareOf({ tenants }: ParsedConfiguration, name: string): string {
  const weight = tenants.find((tenant) => tenant.name === name)?.weight ?? 0;
  const share = weight / sum(tenants.map((tenant) => tenant.weight));
  return `${(share * 100).toFixed(1)} %`;
}

function classEffects({ from, to, running }: EffectContext): Effect[] {
  return from.classes.flatMap((old) => {
    const now = to.classes.find(({ name }) => name === old.name);
    const work = running.classes.find((item) => item.class === old.name);
    const pending = (work?.waiting ?? 0) + (work?.running ?? 0);
    if (now === undefined) {
      const text = `is removed: new jobs are refused; ${pending} tasks are ` +
        "carried to their end";
      return [warning(old.name, text)];
    }
    const effects: Effect[] = [];
    if (now.deadlineMs !== old.deadlineMs) {
      const text =
        `deadline ${old.deadlineMs} ms to ${now.deadlineMs} ms for ` +
        "new jobs; present ones keep theirs";
      effects.push(notice(old.name, text));
    }
    if (now.idempotent && !old.idempotent) {
      const text = "becomes idempotent: make sure that a repeated run is safe";
      effects.push(warning(old.name, text));
    }
    return effects;
  });
}

function ruleEffects(context: EffectContext): Effect[] {
  const { running } = context;
  const held = compareLists(context, "held");
  const gone = compareLists(context, "gone");
  return [
    ...held.added.map((kind) => HELD_EFFECTS[kind as ActionKind]),
    ...held.removed.map((kind) => notice(kind, "may be done again")),
    ...gone.added.map((entry) =>
      running.entries.includes(entry)
        ? warning(entry, "is declared gone but is alive; its jobs may be lost")
        : notice(entry, "is declared gone; nothing waits for it any more")
    ),
  ];
}

const HELD_EFFECTS: Readonly<Record<ActionKind, Effect>> = {
  eject: notice("eject", "is held: it is not done any more; past ones stand"),
  readmit: notice("readmit", "is held: what is ejected stays out"),
  takeOver: warning(
    "takeOver",
    "is held: jobs of an entry that is lost get no answer until its release",
  ),
  shed: notice("shed", "is held; the bound on job records stays"),
  moveQuota: notice("moveQuota", "is held: shares of quotas stay as they are"),
  drain: warning(
    "drain",
    "cannot be held: a process that is told to stop drains all the same",
  ),
};

type RuleList = "drained" | "held" | "gone";

interface ListComparison {
  readonly added: readonly string[];
  readonly removed: readonly string[];
}

function compareLists(
  { from, to }: EffectContext,
  list: RuleList,
): ListComparison {
  const before: readonly string[] = from.rules[list];
  const after: readonly string[] = to.rules[list];
  return {
    added: after.filter((item) => !before.includes(item)),
    removed: before.filter((item) => !after.includes(item)),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
