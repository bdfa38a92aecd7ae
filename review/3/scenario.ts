/**
 * TWICE: an executor whose clock runs 2% slow has been idle for a while. It then
 * starts a run, and from there on carries calls out without answering them.
 */
import { submitJob } from "../harness/caller.ts";
import { desiredState, route, startDeployment } from "../harness/deployment.ts";
import { findOverlaps, runCase, sleep } from "../harness/verdict.ts";

/** `TROUBLE=0` does the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== "0";

/** One of seven is 0.143; the default share of `srv_grey` is 0.15. */
const SIDES = 7;

/** The pages: a clock may be 2% slow. */
const CLOCK_RATE = 0.98;

const START_MS = 5000;

/** In this time no job comes, as at night. */
const IDLE_MS = 25_000;

const WORK_MS = 1400;

const MUTE_AFTER_MS = 20;

/** The site's entries of `srv_grey` last 5.5 s and 6.5 s. */
const MUTE_MS = 5000;

/** Far more than the timers of the stand-ins are off. */
const TOLERANCE_MS = 20;

const STEPS = [{ count: 14, cpu: 1600, mem_mb: 64, estimate_ms: 1286 }];

runCase(async () => {
  let muted = "";
  const deployment = await startDeployment({
    recordFile: "review/3/record.txt",
    fronts: 3,
    sides: SIDES,
    clockRate: CLOCK_RATE,
    workMs: () => WORK_MS,
    started(span) {
      if (!hasTrouble || muted !== "") return;
      muted = span.executor;
      setTimeout(() => {
        const executor = deployment.executors.find(({ id }) => id === muted)!;
        executor.setMute(true);
        setTimeout(() => executor.setMute(false), MUTE_MS);
      }, MUTE_AFTER_MS);
    },
  });
  const { record, store, fronts } = deployment;
  const [first, second] = fronts.map((front) => front.address);
  store.write("op/config", desiredState(1, [route("recipe")]));
  await sleep(START_MS + IDLE_MS);
  const { attempts } = await submitJob({
    record,
    queue: "recipe",
    steps: STEPS,
    fronts: [first!, second!],
    deadlineMs: 1500,
  });
  await sleep(1000);
  const spans = deployment.allSpans();
  await deployment.stop();
  if (spans.length < 14) throw new Error("the tasks didn't start");
  console.log(`answers: ${attempts.map(({ status }) => status).join(", ")}`);
  return findOverlaps(spans, TOLERANCE_MS);
});
