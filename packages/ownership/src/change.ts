/**
 * Changes of the table of entries. Each makes the next version; the caller
 * writes it by compare-and-swap and starts over when it loses the race.
 */
import type { Member, Table } from "@coltsfootreach/types";

/** Adds a member; the same table when it is a member already. */
export function joined(table: Table, member: Member): Table {
  const present = table.members.some(
    (other) => other.incarnation === member.incarnation,
  );
  if (present) return table;
  return next(table, [...table.members, member]);
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

/** Removes members; the same table when none of them is in it. */
export function without(
  table: Table,
  incarnations: ReadonlySet<string>,
): Table {
  const kept = table.members.filter(
    (member) => !incarnations.has(member.incarnation),
  );
  return kept.length === table.members.length ? table : next(table, kept);
}

function next(table: Table, members: readonly Member[]): Table {
  return { version: table.version + 1, members };
}
