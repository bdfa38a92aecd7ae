/**
 * ROUTE: a front is killed and starts again while clients submit jobs of which
 * an executor may run one task at a time.
 */
import { submitJob } from "../harness/caller.ts";
import { desiredState, route, startDeployment } from "../harness/deployment.ts";
import { hasTrouble, runCase, sleep } from "../harness/verdict.ts";

const SIDES = 11;

const START_MS = 6000;

const RESTART_DELAY_MS = 300;

/** The platform sends new connections to the one front of the zone. */
const SENT_MS = 3000;

const REQUEST_GAP_MS = 100;

/** An executor has room for two of these, and may run one. */
const STEPS = [{
  count: 2,
  cpu: 8000,
  mem_mb: 64,
  estimate_ms: 200,
  max_per_server: 1,
}];

runCase(async () => {
  const deployment = await startDeployment({
    recordFile: "review/5/record.txt",
    fronts: 3,
    sides: SIDES,
    workMs: () => 200,
  });
  const { record, store, fronts } = deployment;
  const [victim, other] = fronts;
  const pending: Promise<unknown>[] = [];
  store.write("op/config", desiredState(1, [route("seal")]));
  await sleep(START_MS);
  if (hasTrouble) {
    await victim!.kill();
    setTimeout(() => victim!.start(), RESTART_DELAY_MS);
  }
  const endsAt = performance.now() + SENT_MS;
  while (performance.now() < endsAt) {
    pending.push(submitJob({
      record,
      queue: "seal",
      steps: STEPS,
      fronts: [victim!.address, other!.address],
      deadlineMs: 1500,
    }));
    await sleep(REQUEST_GAP_MS);
  }
  await Promise.all(pending);
  const spans = deployment.allSpans();
  await deployment.stop();
  if (spans.length === 0) throw new Error("no task started");

  const breaches: string[] = [];
  for (const span of spans) {
    const step = span.task.replace(/\.\d+$/, "");
    const beside = spans.filter((other) =>
      other !== span && other.executor === span.executor &&
      other.task !== span.task && other.task.startsWith(`${step}.`) &&
      other.startedAt <= span.startedAt && other.endedAt > span.startedAt
    );
    if (beside.length === 0) continue;
    breaches.push(
      `ROUTE: ${span.executor} starts ${span.task} while it runs ` +
        `${beside.map(({ task }) => task).join(", ")} of the same step`,
    );
  }
  console.log(`${spans.length} starts`);
  return breaches;
});
