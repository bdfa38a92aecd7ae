/** Puts the tables that the slopes give into the capacity page. */
import { createLimitTable } from "./limit_table.ts";
import { fillMarkers, formatTable } from "./markdown.ts";
import {
  createCommandTable,
  createEntryTable,
  createSideTable,
  createStoreTable,
} from "./role_tables.ts";
import { createSeriesTable } from "./series_table.ts";
import type { Slopes } from "./series.ts";
import { createSplitTable } from "./split_table.ts";

export function fillPage(page: string, slopes: Slopes): string {
  return fillMarkers(page, {
    split: formatTable(createSplitTable(slopes)),
    limits: formatTable(createLimitTable(slopes)),
    entry: formatTable(createEntryTable(slopes)),
    side: formatTable(createSideTable(slopes)),
    store: formatTable(createStoreTable(slopes)),
    command: formatTable(createCommandTable(slopes)),
    machine: slopes.machine,
    series: formatTable(createSeriesTable(slopes)),
  });
}
