/**
 * Reads from the logs of processes when each of their runs had which
 * configuration version in force.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

/** Messages that the first line of a run of a process carries. */
const FIRST_MESSAGES = ["entry starting", "side started"];

const IN_FORCE = "configuration";

export interface InForceAt {
  readonly version: number;
  /** Unix milliseconds. */
  readonly atMs: number;
}

/** One run of a process, from its start to its end. */
export interface ProcessRun {
  readonly name: string;
  readonly startedAtMs: number;
  /** In the order of the log. */
  readonly versions: readonly InForceAt[];
}

interface Line {
  readonly time: string;
  readonly name: string;
  readonly message: string;
  readonly configurationVersion?: number;
}

/** All runs in the logs of a folder, in the order of their starts. */
export function readRuns(folder: string): readonly ProcessRun[] {
  return readdirSync(folder)
    .filter((file) => file.endsWith(".log"))
    .flatMap((file) => parseRuns(readFileSync(join(folder, file), "utf8")))
    .sort((a, b) => a.startedAtMs - b.startedAtMs);
}

/** Lines that are not JSON, such as warnings of the runtime, say nothing. */
export function parseRuns(log: string): readonly ProcessRun[] {
  const runs: (ProcessRun & { versions: InForceAt[] })[] = [];
  for (const text of log.split("\n")) {
    const line = parseLine(text);
    if (line === undefined) continue;
    const atMs = Date.parse(line.time);
    if (FIRST_MESSAGES.includes(line.message)) {
      runs.push({ name: line.name, startedAtMs: atMs, versions: [] });
      continue;
    }
    const version = line.configurationVersion;
    if (line.message !== IN_FORCE || version === undefined) continue;
    const run = runs.findLast(({ name }) => name === line.name);
    run?.versions.push({ version, atMs });
  }
  return runs;
}

function parseLine(text: string): Line | undefined {
  if (!text.startsWith("{")) return undefined;
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** The last run of each process. */
export function latestRuns(
  runs: readonly ProcessRun[],
): ReadonlyMap<string, ProcessRun> {
  return new Map(runs.map((run) => [run.name, run]));
}

/** When a run had the version, or a newer one, in force. */
export function inForceSince(
  run: ProcessRun,
  version: number,
): number | undefined {
  return run.versions.find((one) => one.version >= version)?.atMs;
}

export interface Reversal {
  readonly process: string;
  readonly from: number;
  readonly to: number;
}

/** Where a run went back to a lower version. */
export function findReversals(
  runs: readonly ProcessRun[],
): readonly Reversal[] {
  return runs.flatMap(({ name, versions }) =>
    versions.flatMap(({ version }, index) => {
      const before = versions[index - 1]?.version ?? 0;
      return version < before
        ? [{ process: name, from: before, to: version }]
        : [];
    })
  );
}
