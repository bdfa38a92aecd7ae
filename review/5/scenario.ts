/**
 * CONFIG: the open connections of the machines to the store go silent. Eight
 * seconds later the operator removes a route.
 */
import { type Attempt, attempt, newId } from "../harness/caller.ts";
import {
  BOUNDS,
  desiredState,
  route,
  startDeployment,
} from "../harness/deployment.ts";
import { runCase, sleep } from "../harness/verdict.ts";

/** `TROUBLE=0` does the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== "0";

/** The pages: a serializable read may be seconds old. */
const STALE_MS = 3000;

const START_MS = 9000;

/** Over `contact_ms`, so that all machines are in touch again. */
const CALM_MS = 8000;

const ASKED_MS = 6000;

const REQUEST_GAP_MS = 100;

const BODY = JSON.stringify({
  spec: "work",
  best_effort: true,
  steps: [{ count: 1, cpu: 1600, mem_mb: 64, estimate_ms: 80 }],
});

runCase(async () => {
  const deployment = await startDeployment({
    recordFile: "review/5/record.txt",
    fronts: 3,
    sides: 3,
    staleMs: STALE_MS,
    workMs: () => 80,
  });
  const { record, store, fronts } = deployment;
  const results: Attempt[] = [];
  const pending: Promise<unknown>[] = [];

  async function ask(front: string): Promise<void> {
    results.push(
      await attempt(front, {
        record,
        path: `/dropped/${newId()}`,
        body: BODY,
        deadlineMs: 1500,
      }),
    );
  }

  store.write(
    "op/config",
    desiredState(1, [route("kept"), route("dropped")]),
  );
  await sleep(START_MS);
  await ask(fronts[0]!.address);
  if (results[0]?.status !== 200) throw new Error("the route doesn't work");
  if (hasTrouble) store.silenceConnections();
  await sleep(CALM_MS);
  store.write("op/config", desiredState(2, [route("kept")]));
  const ackedAt = performance.now();
  while (performance.now() < ackedAt + ASKED_MS) {
    for (const front of fronts) pending.push(ask(front.address));
    await sleep(REQUEST_GAP_MS);
  }
  await Promise.all(pending);
  const spans = deployment.allSpans();
  await deployment.stop();

  const late = results.filter(({ sentAt, status }) =>
    sentAt > ackedAt + BOUNDS.config_apply_ms && status === 200
  );
  const lastMs = Math.max(0, ...late.map(({ sentAt }) => sentAt - ackedAt));
  console.log(
    `${spans.length} tasks ran; the last request that the dropped route ` +
      `served was sent ${Math.round(lastMs)} ms after the ack`,
  );
  return late.map(({ front, sentAt }) =>
    `CONFIG: ${front} ran a request that was sent ` +
    `${Math.round(sentAt - ackedAt)} ms after the ack`
  );
});
