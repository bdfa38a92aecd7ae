/**
 * `npm run simulate -- --seeds N` simulates seeds and prints the results of those
 * that violate an invariant. `--seed N` prints the result of one seed;
 * `--trace TEXT` also prints each decision, start and fault whose trace line
 * contains the text, such as a job ID. `load` plays mixed loads and prints what
 * the callers of each queue got.
 */
import process from "node:process";
import { cac } from "cac";
import { playScenarios } from "./load_report.ts";
import { runSimulation } from "./simulation.ts";

const SECONDS = 20;

const JOBS_PER_SECOND = 40;

const MEAN_FAULT_INTERVAL_MS = 700;

/** How often callers start over after no answer came in time. */
const MAX_TIMEOUTS = 3;

interface Flags {
  readonly seed?: number;
  readonly seeds: number;
  readonly from: number;
  readonly trace?: string;
}

function runSeeds(flags: Flags): void {
  const first = flags.seed ?? flags.from;
  const count = flags.seed === undefined ? flags.seeds : 1;
  let failed = 0;
  for (let seed = first; seed < first + count; seed += 1) {
    const result = runSimulation({
      seed,
      seconds: SECONDS,
      jobsPerSecond: JOBS_PER_SECOND,
      meanFaultIntervalMs: MEAN_FAULT_INTERVAL_MS,
      maxTimeouts: MAX_TIMEOUTS,
      trace(at, what) {
        if (flags.trace === undefined || !what.includes(flags.trace)) return;
        process.stdout.write(`${at.toFixed(1)} ${what}\n`);
      },
    });
    const isClean = result.breaches.length === 0 && result.stuck === 0 &&
      result.closedServers.length === 0;
    if (!isClean) failed += 1;
    if (isClean && flags.seed === undefined) continue;
    process.stdout.write(`${JSON.stringify(result, null, 1)}\n`);
  }
  process.stdout.write(`${count} seeds, ${failed} with breaches\n`);
  if (failed > 0) process.exitCode = 1;
}

/** Fleets whose messages are counted: the current size and a larger one. */
const MEASURED_FLEETS = [
  { entries: 3, sides: 11, jobsPerSecond: 65 },
  { entries: 14, sides: 75, jobsPerSecond: 420 },
];

/** One server in four is an older, slower machine. */
const SLOWNESS_FACTORS = [1.8, 0.85, 0.85, 0.85];

/** Prints the number of messages per started run, without faults. */
function countMessages(): void {
  for (const fleet of MEASURED_FLEETS) {
    const result = runSimulation({
      ...fleet,
      slowness: SLOWNESS_FACTORS,
      seed: 3,
      seconds: 6,
      failureRate: 0,
    });
    const { starts, jobs } = result.counts;
    const perStart = Object.entries(result.traffic).map(([kind, count]) =>
      `${kind} ${(count / starts).toFixed(2)}`
    );
    const inTime = `${result.inTime} of ${jobs} jobs in time`;
    const size = `${fleet.entries} entries, ${fleet.sides} sides`;
    process.stdout.write(`${size}: ${inTime}; ${perStart.join(", ")}\n`);
  }
}

const cli = cac("simulate");
cli.command("load [scenario]", "Play mixed loads and print what callers got")
  .option("--seeds <n>", "Number of seeds to play", { default: 5 })
  .option("--no-reserve", "Let late jobs use all cores")
  .action(playScenarios);
cli.command("messages", "Count messages per started run")
  .action(countMessages);
cli.command("", "Simulate fleets with random faults")
  .option("--seed <n>", "Simulate one seed and print its result")
  .option("--trace <text>", "Print trace lines that contain the text")
  .option("--seeds <n>", "Number of seeds to simulate", { default: 100 })
  .option("--from <n>", "First seed", { default: 1 })
  .action(runSeeds);
cli.help();
cli.parse();
