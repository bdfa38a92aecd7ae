/** Plays load scenarios with several seeds and prints what callers got. */
import process from "node:process";
import { NO_RESERVE } from "@coltsfootreach/dispatch";
import { type LoadResult, playLoad } from "./load.ts";
import { LOAD_SCENARIOS, type LoadScenario } from "./load_scenarios.ts";

/** Submissions end after this time. */
const LOAD_SECONDS = 16;

const EXIT_USAGE = 2;

export interface LoadFlags {
  readonly seeds: number;
  /** False with `--no-reserve`. */
  readonly reserve: boolean;
}

export function playScenarios(
  name: string | undefined,
  { seeds, reserve }: LoadFlags,
): void {
  const names = Object.keys(LOAD_SCENARIOS);
  if (name !== undefined && !names.includes(name)) {
    process.stderr.write(`no scenario ${name}; known: ${names.join(", ")}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  for (const [scenarioName, scenario] of Object.entries(LOAD_SCENARIOS)) {
    if (name !== undefined && name !== scenarioName) continue;
    const results = playSeeds(scenario, { seeds, reserve });
    process.stdout.write(`${scenarioName}: ${formatResults(results)}\n`);
  }
}

function playSeeds(
  scenario: LoadScenario,
  { seeds, reserve }: LoadFlags,
): readonly LoadResult[] {
  return Array.from({ length: seeds }, (_, index) =>
    playLoad({
      ...scenario,
      seed: index + 1,
      seconds: LOAD_SECONDS,
      lateReserve: reserve ? undefined : NO_RESERVE,
    }));
}

/** Mean gained share with its standard error, then shares in time by queue. */
function formatResults(results: readonly LoadResult[]): string {
  const gained = results.map((result) => result.gained);
  const error = standardDeviation(gained) / Math.sqrt(gained.length);
  const queues = Object.keys(results[0]?.queues ?? {}).map((queue) => {
    const inTime = mean(results.map(({ queues }) => queues[queue]!.inTime));
    const late = mean(results.map(({ queues }) => queues[queue]!.late));
    const refused = mean(results.map(({ queues }) => queues[queue]!.refused));
    const shares = [inTime, late, refused].map((share) => share.toFixed(3));
    return `${queue} ${shares.join("/")}`;
  });
  const breaches = results.flatMap((result) => result.breaches).length;
  return `gained ${mean(gained).toFixed(3)} ±${error.toFixed(3)}, ` +
    `${breaches} breaches; in time/late/refused: ${queues.join(", ")}`;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function standardDeviation(values: readonly number[]): number {
  const center = mean(values);
  const squares = values.map((value) => (value - center) ** 2);
  return Math.sqrt(mean(squares));
}
