/** What each role holds, sends and spends at the target, by its mechanism. */
import { bytes, count, type MarkdownTable } from "./markdown.ts";
import {
  computeEntry,
  computeSide,
  computeSplit,
  EDITS_PER_SECOND,
  lineAt,
} from "./model.ts";
import { findSeries, type Slopes } from "./series.ts";
import { ASSUMED, SETTING, TARGET } from "./target.ts";

const HEAD = ["what", "at the target", "mechanism", "state"];

const IN_CODE = "in code";

const TO_BE_BUILT = "to be built";

function table(
  rows: readonly (readonly [string, string, string, string])[],
): MarkdownTable {
  return { head: HEAD, rows };
}

export function createEntryTable(slopes: Slopes): MarkdownTable {
  const split = computeSplit(slopes, TARGET.regions);
  const entry = computeEntry(slopes, split);
  const { entries, sides, cost } = split;
  const starts = split.startsPerSecond / entries;
  return table([
    [
      "state: sides with a stream",
      `${count(sides)}, ${bytes(entry.memoryBytes)} with the process`,
      "one stream a pair, registry of registrations",
      IN_CODE,
    ],
    [
      "state: job records kept",
      `${count(entry.keptRecords)} of ${ASSUMED.tasksPerJob} tasks, ${
        bytes(entry.keptBytes)
      }`,
      `kept ${SETTING.recordWindowS} s, at most ${count(SETTING.maxRecords)}`,
      IN_CODE,
    ],
    [
      "state: tenants",
      `${TARGET.tenants}, ${bytes(entry.tenantBytes)} of histograms and queues`,
      "fair queue, histogram a tenant",
      IN_CODE,
    ],
    [
      "state: inventory",
      bytes(lineAt(slopes, "configuration.bytes", TARGET.workers)),
      "whole document in every entry; a region's part would do",
      TO_BE_BUILT,
    ],
    [
      "messages: frames of starts and results",
      `${count(2 * starts)} a second`,
      "one frame a turn and side; at this size it holds one task",
      IN_CODE,
    ],
    [
      "messages: forwarded jobs",
      `${count(entry.jobsPerSecond * (1 - 1 / entries))} a second`,
      "key hashed to its owner; a caller that knows it would save them",
      IN_CODE,
    ],
    [
      "messages: heartbeats on idle streams",
      `${bytes(entry.restBytesPerSecond)}/s when all are idle`,
      "one in 1.4 s each way, none on busy streams",
      IN_CODE,
    ],
    [
      "processor: jobs",
      `${count(cost.taskUs)} µs a task, ${count(starts)} starts a second`,
      "core, placement by samples of kept candidate lists",
      IN_CODE,
    ],
    [
      "processor: at rest",
      `${count(split.entryRestMsPerSecond)} ms/s`,
      "timers over all sides each 20 ms",
      IN_CODE,
    ],
    [
      "processor: edits",
      `${count(entry.editMs)} ms each, ${count(entry.editMsPerSecond)} ms/s`,
      "parts read ahead, unchanged parts kept",
      IN_CODE,
    ],
    [
      "quotas of tenants",
      `${TARGET.tenants} x ${TARGET.regions} shares`,
      "a region's share by configuration, an entry's by its members",
      TO_BE_BUILT,
    ],
  ]);
}

export function createSideTable(slopes: Slopes): MarkdownTable {
  const split = computeSplit(slopes, TARGET.regions);
  const side = computeSide(slopes, split.entries);
  const { entries } = split;
  const perPair = side.startsPerSecond / entries;
  return table([
    [
      "state: streams",
      `${count(entries)}, ${bytes(side.memoryBytes)} with the process`,
      "one to every entry of the table",
      IN_CODE,
    ],
    [
      "state: evidence",
      `${count(side.evidenceJobs)} jobs, ${bytes(side.evidenceBytes)}`,
      `kept ${SETTING.evidenceWindowS} s, at most ${
        count(SETTING.maxEvidence)
      }`,
      IN_CODE,
    ],
    [
      "messages: starts",
      `${count(side.startsPerSecond)} a second, ${
        count(perPair)
      } from each entry`,
      "frames batch a turn of the entry's loop",
      IN_CODE,
    ],
    [
      "messages: at rest",
      `${count((2 * entries) / SETTING.heartbeatS)} frames, ${
        bytes(side.bytesPerSecond)
      } a second`,
      "a heartbeat in 1.4 s and stream each way",
      IN_CODE,
    ],
    [
      "messages: configuration",
      `${bytes(side.excerptBytesPerSecond)}/s`,
      "excerpt without the inventory, from every entry",
      IN_CODE,
    ],
    [
      "processor: at rest",
      `${count(side.cpuMsPerSecond)} ms/s`,
      "a timer a stream, frames encoded one by one",
      IN_CODE,
    ],
    [
      "registration of a new side",
      `${count(entries)} echoes before its first start`,
      "every member must hear it; members could pass it on",
      TO_BE_BUILT,
    ],
  ]);
}

/** The least and the most of a series' points. */
function spread(slopes: Slopes, name: string): string {
  const values = findSeries(slopes, name).points.map(({ y }) => y);
  return `${count(Math.min(...values))} to ${count(Math.max(...values))}`;
}

export function createStoreTable(slopes: Slopes): MarkdownTable {
  const split = computeSplit(slopes, TARGET.regions);
  const all = split.allEntries;
  const { slope: perEntry } = findSeries(slopes, "store.calls.entries").fit;
  const losses = TARGET.failuresPerDay * all / (TARGET.workers + all);
  return table([
    [
      "lease renewals",
      `${count(all * SETTING.renewalsPerSecond)} writes/s`,
      "one lease an entry, renewed every 2 s",
      IN_CODE,
    ],
    [
      "reads of the table",
      `${count(all * SETTING.tableReadsPerSecond)} reads/s, ${
        count(all * SETTING.anxiousReadsPerSecond)
      } while a member of each table is not heard`,
      "every 10 s, each second when members are missing",
      IN_CODE,
    ],
    [
      "calls by sides",
      `none; ${spread(slopes, "store.calls.sides")} calls/s of one entry`,
      "sides never call the store",
      IN_CODE,
    ],
    [
      "calls by load",
      `none; ${spread(slopes, "store.calls.load")} calls/s of one entry`,
      "no call for a job or a task",
      IN_CODE,
    ],
    [
      "all calls at rest",
      `${count(all * perEntry)} a second`,
      "as above",
      IN_CODE,
    ],
    [
      "waiting watches",
      count(all),
      "one an entry over the fleet's prefix",
      IN_CODE,
    ],
    [
      "edits",
      `${count(TARGET.editsPerDay)} a day, ${
        count(EDITS_PER_SECOND * 4)
      } writes/s, ${count(EDITS_PER_SECOND * 2 * all)} reads/s`,
      "head, history and changed parts; a part read by every entry",
      IN_CODE,
    ],
    [
      "entries lost",
      `${count(losses)} a day, ${count(3 * split.entries)} calls at once each`,
      "every entry of the prefix looks; only a few need to",
      TO_BE_BUILT,
    ],
    [
      "tables",
      `${TARGET.regions}, of ${
        bytes(lineAt(slopes, "table.bytes", split.entries))
      } each`,
      "a prefix for each region, by `store.prefix`",
      IN_CODE,
    ],
  ]);
}

export function createCommandTable(slopes: Slopes): MarkdownTable {
  const split = computeSplit(slopes, TARGET.regions);
  const document = lineAt(slopes, "configuration.bytes", TARGET.workers);
  const parseMs = lineAt(slopes, "configuration.parse", TARGET.workers);
  return table([
    [
      "check, plan, apply",
      `${bytes(document)} read, ${count(parseMs)} ms to parse`,
      "whole document in memory, one process a call",
      IN_CODE,
    ],
    [
      "apply",
      "4 writes, of which one or two parts",
      "parts cut by content, head changed by compare-and-swap",
      IN_CODE,
    ],
    [
      "status, show, explain",
      `asks ${count(split.allEntries)} entries`,
      "each entry's management interface; a region at a time",
      TO_BE_BUILT,
    ],
    [
      "who lags",
      `${count(TARGET.workers)} sides, each named once`,
      "versions on the frames that entries get anyway",
      IN_CODE,
    ],
  ]);
}
