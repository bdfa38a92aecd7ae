/** Command line of the measurement; ends with one JSON line. */
import process from "node:process";
import { cac } from "cac";
import { startBed } from "./bed.ts";
import { createChecks } from "./checks.ts";
import { summarizeDelays } from "./delay.ts";
import { createOperator } from "./operator.ts";
import {
  editQuietly,
  failStore,
  holdTakeover,
  learnFromPeer,
  loseAnswer,
  pauseSide,
  raceOperators,
  replaceEntry,
  restartEntries,
  type Trial,
} from "./phases.ts";
import { findReversals } from "./version_log.ts";

const MAX_SIDES = 200;

const RACES = 3;

interface Flags {
  readonly sides: number;
  readonly seed: number;
  readonly edits: number;
  readonly json: boolean;
}

async function runPhases(trial: Trial, edits: number): Promise<void> {
  await editQuietly(trial, edits);
  await raceOperators(trial, RACES);
  await loseAnswer(trial);
  await replaceEntry(trial);
  await restartEntries(trial);
  await failStore(trial);
  await learnFromPeer(trial);
  await pauseSide(trial);
  await holdTakeover(trial);
}

async function measure(flags: Flags): Promise<number> {
  const bed = await startBed(flags.sides);
  const checks = createChecks(bed);
  const operator = createOperator(bed.fleet.storeAddress, "operator-1");
  const rival = createOperator(bed.fleet.storeAddress, "operator-2");
  let weight = flags.seed;
  const trial: Trial = {
    bed,
    checks,
    operator,
    rival,
    nextEdit: () => ({ tenant: "kiln-crews", weight: ++weight }),
  };
  try {
    await runPhases(trial, flags.edits);
  } finally {
    await bed.setStoreFaults({ outage: "none" });
    await Promise.all([operator.close(), rival.close()]);
    checks.expect(await bed.stop(), "a process ended with an error");
  }
  const reversals = findReversals(bed.runs());
  for (const { process: name, from, to } of reversals) {
    checks.expect(false, `${name} went back from ${from} to ${to}`);
  }
  const phases = checks.phases.map(({ name, edits, notes }) => ({
    name,
    ...summarizeDelays(edits),
    ...notes,
  }));
  const { broken } = checks;
  if (!flags.json) console.table(phases);
  if (broken.length > 0) console.error(`logs: ${bed.fleet.folder}/logs`);
  console.log(JSON.stringify({
    sides: flags.sides,
    seed: flags.seed,
    resolutionMs: 1,
    phases,
    reversals: reversals.length,
    broken,
  }));
  return broken.length === 0 ? 0 : 1;
}

const cli = cac("propagation");
cli.option("--sides <n>", "Sides, at most 200", { default: 10 });
cli.option("--seed <number>", "Seed of the edits", { default: 1 });
cli.option("--edits <n>", "Edits while all is quiet", { default: 20 });
cli.option("--json", "Write the closing JSON line only", { default: false });
cli.help();
const { options } = cli.parse();
if (!options.help) {
  const sides = Number(options.sides);
  if (!(sides >= 1 && sides <= MAX_SIDES)) {
    console.error(`propagation: --sides must be 1 to ${MAX_SIDES}`);
    process.exit(2);
  }
  process.exit(
    await measure({
      sides,
      seed: Number(options.seed),
      edits: Number(options.edits),
      json: options.json === true,
    }),
  );
}
