/**
 * Measures on this machine how cost grows, and prints each line's fit and the
 * points that were run. `--write` replaces the file that the capacity page is
 * worked out from.
 */
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { cpus } from "node:os";
import { dirname } from "node:path";
import process from "node:process";
import { cac } from "cac";
import { measureConfiguration } from "./configuration.ts";
import { measureEntrySides } from "./entry_sides.ts";
import { measureEntryWork } from "./entry_work.ts";
import { measureMemory } from "./memory.ts";
import { measureMessages } from "./messages.ts";
import { SLOPES_FILE } from "./paths.ts";
import { measurePlacement } from "./placement.ts";
import { describeSeries, type Series, type Slopes } from "./series.ts";
import { measureSideControl } from "./side_control.ts";
import { measureTakeover } from "./takeover.ts";

interface Measurement {
  readonly name: string;
  measure(): readonly Series[] | Promise<readonly Series[]>;
}

const MEASUREMENTS: readonly Measurement[] = [
  { name: "work", measure: measureEntryWork },
  { name: "sides", measure: measureEntrySides },
  { name: "control", measure: measureSideControl },
  { name: "memory", measure: measureMemory },
  { name: "messages", measure: measureMessages },
  { name: "placement", measure: measurePlacement },
  { name: "takeover", measure: measureTakeover },
  { name: "configuration", measure: measureConfiguration },
];

interface Flags {
  readonly json?: boolean;
  readonly write?: boolean;
  readonly only?: string;
}

async function run(flags: Flags): Promise<void> {
  const wanted = flags.only?.split(",") ?? [];
  const chosen = MEASUREMENTS.filter(({ name }) =>
    wanted.length === 0 || wanted.includes(name)
  );
  const series: Series[] = [];
  for (const { measure } of chosen) {
    for (const one of await measure()) {
      series.push(one);
      console.error(describeSeries(one));
    }
  }
  const slopes: Slopes = { machine: describeMachine(), series };
  if (flags.json) console.log(JSON.stringify(slopes));
  if (flags.write) write(merge(slopes));
}

/** What was not measured now stays as it was. */
function merge(slopes: Slopes): Slopes {
  if (!existsSync(SLOPES_FILE)) return slopes;
  const known: Slopes = JSON.parse(readFileSync(SLOPES_FILE, "utf8"));
  const names = new Set(slopes.series.map(({ name }) => name));
  const kept = known.series.filter(({ name }) => !names.has(name));
  const series = [...kept, ...slopes.series]
    .sort((a, b) => a.name.localeCompare(b.name));
  return { machine: slopes.machine, series };
}

function describeMachine(): string {
  const processors = cpus();
  return `${processors.length} x ${processors[0]?.model ?? "unknown"}, ` +
    `Node ${process.versions.node}`;
}

function write(slopes: Slopes): void {
  mkdirSync(dirname(SLOPES_FILE), { recursive: true });
  writeFileSync(SLOPES_FILE, `${JSON.stringify(slopes, null, 2)}\n`);
}

const program = cac("slopes");
program.command("", "Measures how cost grows")
  .option("--json", "Prints one JSON line at the end")
  .option("--write", "Replaces docs/capacity/slopes.json")
  .option("--only <names>", "Some measurements, with commas")
  .action(run);
program.help();
program.parse();
