/** The table that compares ways to split the fleet. */
import { bytes, count, type MarkdownTable } from "./markdown.ts";
import {
  computeEntry,
  computeSide,
  computeSplit,
  type EntryFigures,
  type SideFigures,
  type Split,
} from "./model.ts";
import type { Slopes } from "./series.ts";
import { SETTING, TARGET } from "./target.ts";

/** Sides of one table when a data centre is split further. */
const CELL_SIDES = 100;

interface Column {
  readonly title: string;
  readonly split: Split;
  readonly side: SideFigures;
  readonly entry: EntryFigures;
}

interface Row {
  readonly title: string;
  readonly cell: (column: Column) => string;
}

const ROWS: readonly Row[] = [
  { title: "tables", cell: ({ split }) => count(split.tables) },
  { title: "sides of a table", cell: ({ split }) => count(split.sides) },
  {
    title: "starts a second of a table",
    cell: ({ split }) => count(split.startsPerSecond),
  },
  {
    title: "entry, µs a task: work in batches",
    cell: ({ split }) => count(split.cost.workUs),
  },
  {
    title: "entry, µs a task: forwarding",
    cell: ({ split }) => count(split.cost.forwardUs),
  },
  {
    title: "entry, µs a task: candidates",
    cell: ({ split }) => count(split.cost.placeUs),
  },
  {
    title: "entry, µs a task: frames of one task",
    cell: ({ split }) => count(split.cost.framesUs),
  },
  {
    title: "entry at rest, ms/s of processor",
    cell: ({ split }) => count(split.entryRestMsPerSecond),
  },
  { title: "entries of a table", cell: ({ split }) => count(split.entries) },
  { title: "entries in all", cell: ({ split }) => count(split.allEntries) },
  {
    title: "lease renewals a second, all",
    cell: ({ split }) => count(split.allEntries * SETTING.renewalsPerSecond),
  },
  {
    title: "side at rest, ms/s of processor",
    cell: ({ side }) => count(side.cpuMsPerSecond),
  },
  {
    title: "side at rest, bytes a second",
    cell: ({ side }) => bytes(side.bytesPerSecond),
  },
  {
    title: "side at rest, memory",
    cell: ({ side }) => bytes(side.memoryBytes),
  },
  {
    title: "entry at rest, bytes a second",
    cell: ({ entry }) => bytes(entry.restBytesPerSecond),
  },
  {
    title: "owner of a key, µs",
    cell: ({ entry }) => count(entry.ownerUs),
  },
  {
    title: "table change: bytes to each side",
    cell: ({ side }) => bytes(side.tablePushBytes),
  },
  {
    title: "table change: hand-over messages",
    cell: ({ entry }) => bytes(entry.handOverBytes),
  },
  {
    title: "entry lost: evidence, ms of each side",
    cell: ({ side }) => count(side.evidenceMs),
  },
];

export function createSplitTable(slopes: Slopes): MarkdownTable {
  const columns = [
    createColumn(slopes, "whole fleet", 1),
    createColumn(slopes, "region", TARGET.regions),
    createColumn(slopes, "data centre", TARGET.dataCentres),
    createColumn(
      slopes,
      `${CELL_SIDES} sides`,
      TARGET.workers / CELL_SIDES,
    ),
  ];
  return {
    head: ["one table for each", ...columns.map(({ title }) => title)],
    rows: ROWS.map(({ title, cell }) => [title, ...columns.map(cell)]),
  };
}

function createColumn(
  slopes: Slopes,
  title: string,
  tables: number,
): Column {
  const split = computeSplit(slopes, tables);
  return {
    title,
    split,
    side: computeSide(slopes, split.entries),
    entry: computeEntry(slopes, split),
  };
}
