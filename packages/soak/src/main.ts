/** Command line of the soak test; see the README. */
import { appendFileSync, mkdirSync, rmSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { cac } from "cac";
import { FLEET_SIZES, type FleetSizeName } from "./sizes.ts";
import { soak } from "./soak.ts";

interface Flags {
  readonly seed: number;
  readonly seeds: number;
  readonly seconds: number;
  readonly size: FleetSizeName;
  readonly planned: boolean;
  /** Comma-separated names. */
  readonly faults?: string | undefined;
  readonly json: boolean;
}

const OUTPUT_FOLDER = ".tmp/soak";

/** Limit on breaches printed per seed; the JSON result lists all of them. */
const MAX_PRINTED_BREACHES = 10;

async function run(flags: Flags): Promise<void> {
  let failed = 0;
  for (let seed = flags.seed; seed < flags.seed + flags.seeds; seed += 1) {
    const folder = join(OUTPUT_FOLDER, String(seed));
    rmSync(folder, { recursive: true, force: true });
    mkdirSync(folder, { recursive: true });
    const result = await soak({
      seed,
      seconds: flags.seconds,
      size: FLEET_SIZES[flags.size],
      isPlannedOnly: flags.planned,
      faults: flags.faults?.split(","),
      folder,
      trace(at, what) {
        appendFileSync(join(folder, "trace.log"), `${at.toFixed(1)} ${what}\n`);
      },
    });
    const hasPassed = result.breaches.length === 0;
    if (hasPassed) rmSync(folder, { recursive: true });
    else failed += 1;
    const verdict = hasPassed ? "passed" : `FAILED, logs in ${folder}`;
    const { jobs, completed, starts } = result.counts;
    const summary = flags.json ? JSON.stringify(result) : `seed ${seed}: ` +
      `${verdict}; ${jobs} jobs, ${completed} completed, ${starts} starts, ` +
      `${result.faults.length} faults`;
    process.stdout.write(`${summary}\n`);
    for (
      const { rule, at, what } of result.breaches.slice(0, MAX_PRINTED_BREACHES)
    ) {
      process.stdout.write(`  ${rule} at ${Math.round(at)}: ${what}\n`);
    }
  }
  process.stdout.write(`${flags.seeds} seeds, ${failed} failed\n`);
  process.exit(failed > 0 ? 1 : 0);
}

// Calls process.exit(), whose "exit" handler kills the child processes.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(1));
}

const cli = cac("soak");
cli.command("", "Runs soak tests of process fleets under fault injection")
  .option("--seed <n>", "First seed", { default: 1 })
  .option("--seeds <n>", "Number of consecutive seeds to run", { default: 1 })
  .option("--seconds <n>", "Duration of fault injection", { default: 15 })
  .option("--size <name>", "Fleet size: small, few-dozen or limit", {
    default: "small",
  })
  .option("--planned", "Only faults that must not interrupt requests", {
    default: false,
  })
  .option("--faults <names>", "Only these faults, separated by commas")
  .option("--json", "Print each result as JSON", { default: false })
  .action(run);
cli.help();
cli.parse();
