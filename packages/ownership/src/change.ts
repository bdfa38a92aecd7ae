/**
 * Changes of the table of entries. Each makes the next version; the caller
 * writes it by compare-and-swap and starts over when it loses the race.
 */
import type { Member, Table } from "@coltsfootreach/types";

/** Removals that the table remembers. */
const MAX_REMOVALS = 64;

/** Adds a member; the same table when it is a member already. */
export function joined(table: Table, member: Member): Table {
  const present = table.members.some(
    (other) => other.incarnation === member.incarnation,
  );
  if (present) return table;
  return next(table, [...table.members, member]);
}

/** Removes members at an address where another run now listens. */
export function withoutEarlierRuns(table: Table, member: Member): Table {
  const earlier = table.members
    .filter((other) =>
      other.address === member.address &&
      other.incarnation !== member.incarnation
    )
    .map((other) => other.incarnation);
  return without(table, new Set(earlier));
}

/** Marks a member as draining; the same table when there is nothing to do. */
export function draining(table: Table, incarnation: string): Table {
  const target = table.members.find(
    (member) => member.incarnation === incarnation,
  );
  if (target === undefined || target.draining) return table;
  return next(
    table,
    table.members.map((member) =>
      member === target ? { ...member, draining: true } : member
    ),
  );
}

/** Removes a member that has handed everything over. */
export function left(table: Table, incarnation: string): Table {
  const kept = table.members.filter(
    (member) => member.incarnation !== incarnation,
  );
  return kept.length === table.members.length ? table : next(table, kept);
}

/** Removes members that are gone; the same table when none is in it. */
export function without(
  table: Table,
  incarnations: ReadonlySet<string>,
): Table {
  const version = table.version + 1;
  const removals = table.members
    .filter((member) => incarnations.has(member.incarnation))
    .map(({ incarnation, name }) => ({ incarnation, name, version }));
  if (removals.length === 0) return table;
  const kept = table.members.filter(
    (member) => !incarnations.has(member.incarnation),
  );
  const known = [...table.removals, ...removals].slice(-MAX_REMOVALS);
  return { version, members: kept, removals: known };
}

function next(table: Table, members: readonly Member[]): Table {
  return { version: table.version + 1, members, removals: table.removals };
}
