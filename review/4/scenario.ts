/**
 * TWICE: a front stands still for three seconds. Clients that got no response
 * send their jobs to another front, and the first one wakes.
 */
import { submitJob } from "../harness/caller.ts";
import { desiredState, route, startDeployment } from "../harness/deployment.ts";
import { findOverlaps, runCase, sleep } from "../harness/verdict.ts";

/** `TROUBLE=0` does the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== "0";

const START_MS = 6000;

/** The site's entry of `node_freeze` lasts 3.5 s. */
const FREEZE_MS = 3000;

const TRAFFIC_MS = 8000;

const FREEZE_AT_MS = 3000;

const REQUEST_GAP_MS = 20;

const TOLERANCE_MS = 10;

const STEPS = [{ count: 2, cpu: 1600, mem_mb: 64, estimate_ms: 300 }];

runCase(async () => {
  const deployment = await startDeployment({
    recordFile: "review/4/record.txt",
    fronts: 3,
    sides: 7,
    workMs: () => 300,
  });
  const { record, store, fronts } = deployment;
  const [frozen, other] = fronts;
  const pending: Promise<unknown>[] = [];
  store.write("op/config", desiredState(1, [route("heat")]));
  await sleep(START_MS);
  if (hasTrouble) {
    setTimeout(() => frozen!.signal("SIGSTOP"), FREEZE_AT_MS);
    setTimeout(() => frozen!.signal("SIGCONT"), FREEZE_AT_MS + FREEZE_MS);
  }
  const endsAt = performance.now() + TRAFFIC_MS;
  while (performance.now() < endsAt) {
    pending.push(submitJob({
      record,
      queue: "heat",
      steps: STEPS,
      fronts: [frozen!.address, other!.address],
      deadlineMs: 1500,
    }));
    await sleep(REQUEST_GAP_MS);
  }
  await Promise.all(pending);
  const spans = deployment.allSpans();
  await deployment.stop();
  if (spans.length === 0) throw new Error("no task started");
  console.log(`${spans.length} starts`);
  return findOverlaps(spans, TOLERANCE_MS);
});
