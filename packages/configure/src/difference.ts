/** Compares two parsed configurations item by item and field by field. */
import { isDeepStrictEqual } from "node:util";
import type { ParsedConfiguration } from "@coltsfootreach/types";

export type Section =
  | "dataCentres"
  | "workers"
  | "servers"
  | "tenants"
  | "classes"
  | "rules";

export interface FieldDifference {
  readonly field: string;
  readonly from: unknown;
  readonly to: unknown;
}

export interface Difference {
  readonly section: Section;
  /** The item's name; "rules" for the rules. */
  readonly name: string;
  readonly change: "added" | "removed" | "changed";
  /** Empty unless the item is changed. */
  readonly fields: readonly FieldDifference[];
}

const ITEM_SECTIONS = [
  "dataCentres",
  "workers",
  "servers",
  "tenants",
  "classes",
] as const;

interface NamedItem {
  readonly name: string;
}

/** Compares two configurations; an undefined `from` has no items. */
export function findDifferences(
  from: ParsedConfiguration | undefined,
  to: ParsedConfiguration,
): readonly Difference[] {
  return [
    ...ITEM_SECTIONS.flatMap((section) =>
      compareSection(section, { from: from?.[section] ?? [], to: to[section] })
    ),
    ...compareRules(from, to),
  ];
}

function compareSection(
  section: Section,
  { from, to }: {
    readonly from: readonly NamedItem[];
    readonly to: readonly NamedItem[];
  },
): readonly Difference[] {
  const before = new Map(from.map((item) => [item.name, item]));
  const after = new Set(to.map((item) => item.name));
  const removed = from.filter(({ name }) => !after.has(name))
    .map(({ name }): Difference => ({
      section,
      name,
      change: "removed",
      fields: [],
    }));
  const addedOrChanged = to.flatMap((item): Difference[] => {
    const { name } = item;
    const previous = before.get(name);
    if (previous === undefined) {
      return [{ section, name, change: "added", fields: [] }];
    }
    const fields = compareFields(previous, item);
    return fields.length === 0
      ? []
      : [{ section, name, change: "changed", fields }];
  });
  return [...removed, ...addedOrChanged];
}

function compareRules(
  from: ParsedConfiguration | undefined,
  to: ParsedConfiguration,
): readonly Difference[] {
  if (from === undefined) return [];
  const fields = compareFields(from.rules, to.rules);
  return fields.length === 0
    ? []
    : [{ section: "rules", name: "rules", change: "changed", fields }];
}

function compareFields(from: object, to: object): readonly FieldDifference[] {
  const before = new Map<string, unknown>(Object.entries(from));
  return Object.entries(to)
    .filter(([field, value]) => !isDeepStrictEqual(before.get(field), value))
    .map(([field, value]) => ({ field, from: before.get(field), to: value }));
}
