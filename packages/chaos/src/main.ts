/**
 * The chaos command. It prints its schedule and findings, and last one JSON
 * line; it exits with 1 when a promise was broken.
 */
import process from "node:process";
import { cac } from "cac";
import { PROMISES, type Verdicts } from "./check.ts";
import { type Plan, PLANS } from "./plans.ts";
import { runChaos, type RunResult } from "./run.ts";

const MS_PER_SECOND = 1000;

const MOST_FINDINGS = 40;

const EXIT_BROKEN = 1;

const EXIT_USAGE = 2;

function brokenCounts(verdicts: Verdicts): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const promise of PROMISES) {
    const found = verdicts.findings.filter((one) => one.promise === promise);
    const isPerJob = promise === "jobsWithoutEnd";
    counts[promise] = isPerJob
      ? new Set(found.map(({ job }) => job)).size
      : found.length;
  }
  return counts;
}

function printFindings(result: RunResult, print: (line: string) => void): void {
  const { findings } = result.verdicts;
  for (const { promise, job, detail } of findings.slice(0, MOST_FINDINGS)) {
    print(`${promise}: ${job}: ${detail}`);
  }
  const jobs = new Set(findings.slice(0, MOST_FINDINGS).map(({ job }) => job));
  for (const trace of result.traces) {
    if (!jobs.has(trace.job.key)) continue;
    print(`trace: ${JSON.stringify(trace)}`);
  }
  for (const stop of result.stops) print(`stop: ${JSON.stringify(stop)}`);
}

const cli = cac("chaos");
cli.option("--seed <n>", "Seed of load and faults", { default: 1 });
cli.option("--seconds <s>", "Length of the load", { default: 30 });
cli.option("--plan <name>", `One of ${PLANS.join(", ")}`, {
  default: "random",
});
cli.option("--settle <s>", "Bound on settling after the faults", {
  default: 90,
});
cli.option("--json", "Print only the closing line on standard output");
cli.help();
const { options } = cli.parse();

if (!options.help) {
  const plan = PLANS.find((name): name is Plan => name === options.plan);
  if (plan === undefined) {
    console.error(`--plan: must be one of ${PLANS.join(", ")}`);
    process.exit(EXIT_USAGE);
  }
  const print = options.json ? console.error : console.log;
  const seed = Number(options.seed);
  const result = await runChaos({
    seed,
    lengthMs: Number(options.seconds) * MS_PER_SECOND,
    settleMs: Number(options.settle) * MS_PER_SECOND,
    plan,
    print,
  });
  printFindings(result, print);
  const { verdicts, settledMs, stops } = result;
  const badStops = stops.filter(({ code }) => code !== 0).length;
  const broken = brokenCounts(verdicts);
  const { tasks, mayHaveRun, failed, complete } = verdicts;
  const { jobs, refused, lost, undecided } = verdicts;
  console.log(JSON.stringify({
    tasks,
    ...broken,
    mayHaveRun,
    failed,
    complete,
    seed,
    plan,
    jobs,
    refused,
    lost,
    undecided,
    badStops,
    settledMs,
  }));
  const isKept = Object.values(broken).every((count) => count === 0);
  const isSmooth = plan !== "rolling" ||
    lost + undecided + badStops + failed + refused === 0;
  process.exit(isKept && isSmooth ? 0 : EXIT_BROKEN);
}
