/** Command line of the trial. */
import { cac } from "cac";
import type { JobOrder } from "@coltsfootreach/limit";
import { POLICIES } from "./policies.ts";
import { PROFILES } from "./profile.ts";
import { formatGroups, formatTable } from "./report.ts";
import { runTrial } from "./run_trial.ts";
import { SCENARIOS } from "./scenario.ts";

interface Flags {
  readonly profile: string;
  readonly policy: string;
  readonly scenario: string;
  readonly order: string;
  readonly load: number;
  readonly seed: number;
  readonly seconds: number;
  readonly json: boolean;
}

/** The choices of a name, where `all` stands for every one. */
function pick<T extends { readonly name: string }>(
  all: readonly T[],
  name: string,
): readonly T[] {
  const found = name === "all" ? all : all.filter((one) => one.name === name);
  if (found.length > 0) return found;
  const names = all.map((one) => one.name).join(", ");
  throw new Error(`unknown name ${name}; known: ${names}`);
}

function isJobOrder(name: string): name is JobOrder {
  return ["arrival", "deadline", "leastWork"].includes(name);
}

function run(flags: Flags): void {
  const [profile] = pick(PROFILES, flags.profile);
  const { order } = flags;
  if (!isJobOrder(order)) throw new Error(`unknown order ${order}`);
  for (const scenario of pick(SCENARIOS, flags.scenario)) {
    const reports = pick(POLICIES, flags.policy).map((policy) =>
      runTrial({
        profile: profile!,
        scenario,
        load: flags.load,
        seed: flags.seed,
        durationMs: flags.seconds * 1_000,
        policyName: policy.name,
        createPolicy: policy.create,
        order,
      })
    );
    if (flags.json) {
      for (const report of reports) console.log(JSON.stringify(report));
      continue;
    }
    console.log(
      `${flags.profile} ${scenario.name} load ${reports[0]!.load} ` +
        `seed ${flags.seed} order ${order} ${flags.seconds} s`,
    );
    console.log(formatTable(reports));
    console.log(`by job size, ${reports.at(-1)!.policy}`);
    console.log(formatGroups(reports.at(-1)!.perSize));
  }
}

const program = cac("trial");
program.command("", "Compare placement policies under a fake clock")
  .option("--profile <name>", "delta or urvaerk", { default: "delta" })
  .option("--policy <name>", "A policy, or all", { default: "all" })
  .option("--scenario <name>", "A scenario, or all", { default: "plain" })
  .option("--order <name>", "arrival, deadline or leastWork", {
    default: "leastWork",
  })
  .option("--load <share>", "Offered work over capacity", { default: 0.8 })
  .option("--seed <number>", "Seed of everything random", { default: 1 })
  .option("--seconds <number>", "Length of the arrivals", { default: 300 })
  .option("--json", "One JSON line per policy", { default: false })
  .action(run);
program.help();
program.parse();
