/** The load tool: daemons and stand-in backend servers on loopback. */
import { cac } from "cac";
import { type Placement, PLACEMENTS } from "@coltsfootreach/place";
import { PROFILES } from "@coltsfootreach/trial";
import { formatReports } from "./format.ts";
import { type BenchReport, runBench } from "./run_bench.ts";
import { measureThroughput } from "./throughput.ts";

interface Flags {
  readonly profile: string;
  readonly policy: string;
  readonly load: number;
  readonly seed: number;
  readonly seconds: number;
  readonly json: boolean;
  readonly throughput: boolean;
  readonly tasks: number;
  readonly cpuProfiles?: string;
}

function policiesOf(name: string): readonly Placement[] {
  const chosen = PLACEMENTS.filter((one) => name === "all" || one === name);
  if (chosen.length === 0) throw new Error(`there is no policy ${name}`);
  return chosen;
}

async function run(flags: Flags): Promise<void> {
  const { cpuProfiles } = flags;
  const entryFlags = cpuProfiles === undefined
    ? []
    : ["--cpu-prof", `--cpu-prof-dir=${cpuProfiles}`];
  if (flags.throughput) {
    const tasks = Number(flags.tasks);
    console.log(JSON.stringify(await measureThroughput(tasks, entryFlags)));
    return;
  }
  const profile = PROFILES.find(({ name }) => name === flags.profile);
  if (profile === undefined) {
    throw new Error(`there is no profile ${flags.profile}`);
  }
  const reports: BenchReport[] = [];
  for (const policy of policiesOf(flags.policy)) {
    const report = await runBench({
      profile,
      policy,
      load: Number(flags.load),
      seed: Number(flags.seed),
      seconds: Number(flags.seconds),
      entryFlags,
    });
    reports.push(report);
    if (flags.json) console.log(JSON.stringify(report));
  }
  if (!flags.json || reports.length > 1) console.log(formatReports(reports));
}

const program = cac("bench");
program.command("", "Loads a fleet of daemons on loopback")
  .option("--profile <name>", "delta or urvaerk", { default: "delta" })
  .option("--policy <name>", "A policy, or all", { default: "expected-delay" })
  .option("--load <share>", "Offered work over capacity", { default: 0.8 })
  .option("--seed <number>", "Seed of the arrivals", { default: 1 })
  .option("--seconds <number>", "Length of the counted arrivals", {
    default: 25,
  })
  .option("--json", "One JSON line per policy", { default: false })
  .option("--throughput", "Starts a second of one entry instead", {
    default: false,
  })
  .option("--tasks <number>", "Tasks of a job, for --throughput", {
    default: 30,
  })
  .option("--cpu-profiles <folder>", "Takes processor profiles of the entries")
  .action(run);
program.help();
program.parse();
