/**
 * `npm run model`: explores every world, walks at random, and shows that every
 * mutation is caught.
 */
import { parseArgs } from "node:util";
import { explore, type Finding, MUTATIONS, walk, WORLDS } from "./index.ts";

const DEFAULT_TRANSITIONS = "6000";
const DEFAULT_WALKS = "1000";
const WALK_LENGTH = 50;

const PROPERTIES = [
  "no task starts twice",
  "notRun stays true",
  "every job ends",
  "an answer is whole and its own",
  "late answers are marked",
  "table versions never go back",
];

const { values } = parseArgs({
  options: {
    transitions: { type: "string", default: DEFAULT_TRANSITIONS },
    walks: { type: "string", default: DEFAULT_WALKS },
    seed: { type: "string", default: "1" },
  },
});
let hasFailed = false;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printFinding(found: Finding): void {
  print(`    trace: ${found.trace.join("; ")}`);
  for (const { property, detail } of found.violations.slice(0, 1)) {
    print(`    broken: ${property}: ${detail}`);
  }
}

function exploreWorlds(): void {
  const maxTransitions = Number(values.transitions);
  for (const world of WORLDS) {
    const { entries, sides } = world.options;
    const result = explore(world, { maxTransitions });
    print(
      `${world.name}: ${result.states} states, ${result.transitions} ` +
        `transitions${result.isExhaustive ? ", all" : ""}; bounds: ` +
        `${entries.length} entries, ${sides.length} sides, ` +
        `${world.jobs.length} jobs, ${world.depth} actions of ` +
        `${world.actions.length} kinds, ${world.faults} faults`,
    );
    if (result.found === undefined) continue;
    hasFailed = true;
    printFinding(result.found);
    result.found.log.forEach((line) => print(`    ${line}`));
  }
}

function walkAtRandom(): void {
  const seed = Number(values.seed);
  const walks = Number(values.walks);
  const result = walk({ seed, walks, length: WALK_LENGTH });
  print(`random walks: ${result.walks} of up to ${WALK_LENGTH}, seed ${seed}`);
  if (result.found === undefined) return;
  hasFailed = true;
  printFinding(result.found);
  result.found.log.forEach((line) => print(`    ${line}`));
}

function showMutations(): void {
  for (const { name, mutation, world } of MUTATIONS) {
    const { found, transitions } = explore(world, {
      maxTransitions: Number(values.transitions),
      mutation,
    });
    const end = found === undefined ? "NOT CAUGHT" : "caught";
    print(`${end} in "${world.name}" after ${transitions}: ${name}`);
    if (found === undefined) hasFailed = true;
    else printFinding(found);
  }
}

exploreWorlds();
walkAtRandom();
print(hasFailed ? "not all hold:" : "properties held:");
PROPERTIES.forEach((property) => print(`  ${property}`));
showMutations();
process.exitCode = hasFailed ? 1 : 0;
