/** `node --import=tsx packages/simulate/src/trace_main.ts SEED JOB`: what happened to one job. */
import process from "node:process";
import { play } from "./play.ts";

const [seed, job] = process.argv.slice(2);

play({
  seed: Number(seed),
  seconds: 20,
  jobsPerSecond: 40,
  faultEveryMs: 700,
  trace: (at, what) => {
    if (what.includes(job ?? "")) {
      process.stdout.write(`${at.toFixed(1)} ${what}\n`);
    }
  },
});
