/**
 * Predicts how a configuration change affects running work, as messages that
 * an operator reads before applying it.
 */
import type { ActionKind, ParsedConfiguration } from "@coltsfootreach/types";

/** Tasks running and queued now, as the entries report them. */
export interface WorkloadSnapshot {
  readonly servers: readonly ServerLoad[];
  readonly tenants: readonly TenantLoad[];
  readonly classes: readonly ClassLoad[];
  /** Incarnations of live entries. */
  readonly entries: readonly string[];
}

export interface ServerLoad {
  readonly server: string;
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
}

export interface TenantLoad {
  readonly tenant: string;
  readonly waiting: number;
  readonly running: number;
}

export interface ClassLoad {
  readonly class: string;
  readonly waiting: number;
  readonly running: number;
}

export const EMPTY_WORKLOAD: WorkloadSnapshot = {
  servers: [],
  tenants: [],
  classes: [],
  entries: [],
};

/** A warning needs the operator's attention; a notice is informational. */
export interface Effect {
  readonly severity: "notice" | "warning";
  readonly subject: string;
  readonly text: string;
}

export interface EffectContext {
  readonly from: ParsedConfiguration;
  readonly to: ParsedConfiguration;
  readonly running: WorkloadSnapshot;
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
  const startedDrains = added.map((name) => {
    const server = running.servers.find((item) => item.server === name);
    if (server === undefined) {
      return warning(name, "is drained, but no such backend server is present");
    }
    return notice(
      name,
      `gets no new work; ${server.running} running tasks end as usual and ` +
        `${server.queued} queued ones move to other servers`,
    );
  });
  const endedDrains = removed.map((name) =>
    notice(name, "accepts new work again")
  );
  return [...startedDrains, ...endedDrains];
}

function capacityEffects({ from, to, running }: EffectContext): Effect[] {
  const slots = countSlots(running.servers, []);
  const slotsBefore = countSlots(running.servers, from.rules.drained);
  const slotsAfter = countSlots(running.servers, to.rules.drained);
  if (slotsAfter >= slotsBefore) return [];
  if (slotsAfter === 0) {
    return [warning("capacity", "no backend server is left to take work")];
  }
  const busySlots = sum(running.servers.map((server) => server.running));
  const text =
    `${slotsAfter} of ${slots} slots stay in use; ${busySlots} are busy`;
  return [
    busySlots > slotsAfter
      ? warning("capacity", text)
      : notice("capacity", text),
  ];
}

function countSlots(
  servers: readonly ServerLoad[],
  drained: readonly string[],
): number {
  const undrained = servers.filter(({ server }) => !drained.includes(server));
  return sum(undrained.map(({ slots }) => slots));
}

function serverEffects({ from, to, running }: EffectContext): Effect[] {
  const after = new Set(to.servers.map(({ name }) => name));
  return from.servers
    .filter(({ name }) => !after.has(name))
    .filter(({ name }) => running.servers.some(({ server }) => server === name))
    .map(({ name }) =>
      warning(
        name,
        "is removed from the inventory while present; it continues to take " +
          "work until it is drained",
      )
    );
}

function tenantEffects({ from, to, running }: EffectContext): Effect[] {
  return from.tenants.flatMap((previous) => {
    const next = to.tenants.find(({ name }) => name === previous.name);
    const load = running.tenants.find(({ tenant }) => tenant === previous.name);
    const waiting = load?.waiting ?? 0;
    if (next === undefined) {
      const text = `is removed: new jobs are refused; ${waiting} waiting and ` +
        `${load?.running ?? 0} running tasks run to completion`;
      return [warning(previous.name, text)];
    }
    const effects: Effect[] = [];
    if (next.maxQueued < previous.maxQueued && waiting > next.maxQueued) {
      const text = `has ${waiting} tasks waiting, more than the new limit of ` +
        `${next.maxQueued}: they stay, new jobs are refused until they drain`;
      effects.push(warning(previous.name, text));
    }
    if (isLowerRate(previous.startsPerSecond, next.startsPerSecond)) {
      const text =
        `starts at most ${next.startsPerSecond} tasks a second from ` +
        `now on; ${waiting} wait`;
      effects.push(notice(previous.name, text));
    }
    if (next.weight !== previous.weight) {
      const text =
        `share when all have work: ${shareOf(from, previous.name)} to ` +
        shareOf(to, previous.name);
      effects.push(notice(previous.name, text));
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
  return from.classes.flatMap((previous) => {
    const next = to.classes.find(({ name }) => name === previous.name);
    const load = running.classes.find((item) => item.class === previous.name);
    const pending = (load?.waiting ?? 0) + (load?.running ?? 0);
    if (next === undefined) {
      const text = `is removed: new jobs are refused; ${pending} tasks ` +
        "run to completion";
      return [warning(previous.name, text)];
    }
    const effects: Effect[] = [];
    if (next.deadlineMs !== previous.deadlineMs) {
      const text =
        `deadline ${previous.deadlineMs} ms to ${next.deadlineMs} ms for ` +
        "new jobs; existing ones keep theirs";
      effects.push(notice(previous.name, text));
    }
    if (next.idempotent && !previous.idempotent) {
      const text = "becomes idempotent: make sure that a repeated run is safe";
      effects.push(warning(previous.name, text));
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
    ...held.removed.map((kind) => notice(kind, "is allowed again")),
    ...gone.added.map((entry) =>
      running.entries.includes(entry)
        ? warning(entry, "is declared gone but is alive; its jobs may be lost")
        : notice(entry, "is declared gone; no process waits for it any longer")
    ),
  ];
}

const HELD_EFFECTS: Readonly<Record<ActionKind, Effect>> = {
  eject: notice(
    "eject",
    "is held: no new ejections; existing ones stay in force",
  ),
  readmit: notice("readmit", "is held: ejected servers stay ejected"),
  takeOver: warning(
    "takeOver",
    "is held: jobs of a lost entry get no response until the hold is released",
  ),
  shed: notice("shed", "is held; the limit on job records stays in force"),
  moveQuota: notice("moveQuota", "is held: quota shares stay as they are"),
  drain: warning(
    "drain",
    "cannot be held: a process that is told to stop still drains",
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
