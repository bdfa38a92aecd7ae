/** `npm run soak -- --seed N --seconds S`: see the README. */
import { appendFileSync, mkdirSync, rmSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { cac } from "cac";
import { type SizeName, SIZES } from "./sizes.ts";
import { soak } from "./soak.ts";

interface Flags {
  readonly seed: number;
  readonly seeds: number;
  readonly seconds: number;
  readonly size: SizeName;
  readonly planned: boolean;
  readonly json: boolean;
}

const FOLDER = ".tmp/soak";

/** Breaches that are printed for a seed; the result as JSON has all. */
const MOST_SHOWN = 10;

async function run(flags: Flags): Promise<void> {
  let failed = 0;
  for (let seed = flags.seed; seed < flags.seed + flags.seeds; seed += 1) {
    const folder = join(FOLDER, String(seed));
    rmSync(folder, { recursive: true, force: true });
    mkdirSync(folder, { recursive: true });
    const result = await soak({
      seed,
      seconds: flags.seconds,
      size: SIZES[flags.size],
      isPlanned: flags.planned,
      folder,
      trace(at, what) {
        appendFileSync(join(folder, "trace.log"), `${at.toFixed(1)} ${what}\n`);
      },
    });
    const isClean = result.breaches.length === 0;
    if (isClean) rmSync(folder, { recursive: true });
    else failed += 1;
    const verdict = isClean ? "clean" : `BROKEN, logs in ${folder}`;
    const { jobs, completed, starts } = result.counts;
    const summary = flags.json ? JSON.stringify(result) : `seed ${seed}: ` +
      `${verdict}; ${jobs} jobs, ${completed} completed, ${starts} starts, ` +
      `${result.faults.length} faults`;
    process.stdout.write(`${summary}\n`);
    for (const { rule, at, what } of result.breaches.slice(0, MOST_SHOWN)) {
      process.stdout.write(`  ${rule} at ${Math.round(at)}: ${what}\n`);
    }
  }
  process.stdout.write(`${flags.seeds} seeds, ${failed} broken\n`);
  process.exit(failed > 0 ? 1 : 0);
}

// Ends by way of "exit", which ends the processes of the soak too.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(1));
}

const cli = cac("soak");
cli.command("", "Soaks fleets of processes under faults")
  .option("--seed <n>", "First seed", { default: 1 })
  .option("--seeds <n>", "How many seeds to play", { default: 1 })
  .option("--seconds <n>", "Time in which faults come", { default: 15 })
  .option("--size <name>", "small, few-dozen or limit", { default: "small" })
  .option("--planned", "Only faults that must cut no request", {
    default: false,
  })
  .option("--json", "Prints each result as JSON", { default: false })
  .action(run);
cli.help();
cli.parse();
