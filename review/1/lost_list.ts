/**
 * RECOVER: while executors leave half of the calls unanswered, all processes of
 * the system are killed and started again. Four seconds later all is calm.
 */
import { type Attempt, submitJob } from "../harness/caller.ts";
import {
  BOUNDS,
  desiredState,
  route,
  startDeployment,
} from "../harness/deployment.ts";
import { runCase, sleep } from "../harness/verdict.ts";

/** `TROUBLE=0` does the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== "0";

/** Together with the rest 5.5 s, as `applied_late` lasts in the site file. */
const LOSS_BEFORE_MS = 1000;

/** From here on the executors answer every call. */
const LOSS_AFTER_MS = 4000;

const RESTART_DELAY_MS = 500;

const MEASURED_MS = 10_000;

const REQUEST_GAP_MS = 100;

const STEPS = [{ count: 2, cpu: 1600, mem_mb: 64, estimate_ms: 200 }];

runCase(async () => {
  const deployment = await startDeployment({
    recordFile: "review/1/record_lost_list.txt",
    fronts: 3,
    sides: 3,
    workMs: () => 200,
  });
  const { record, store, fronts, sides, executors } = deployment;
  const addresses = fronts.map((front) => front.address);
  const before: Attempt[] = [];
  const after: Attempt[] = [];
  const pending: Promise<unknown>[] = [];
  let sent = 0;

  async function sendJob(results: Attempt[] | undefined): Promise<void> {
    sent += 1;
    const first = addresses[sent % addresses.length]!;
    const second = addresses[(sent + 1) % addresses.length]!;
    const { attempts } = await submitJob({
      record,
      queue: "seal",
      steps: STEPS,
      fronts: [first, second],
      deadlineMs: 1500,
    });
    results?.push(attempts.at(-1)!);
  }

  async function sendFor(ms: number, results?: Attempt[]): Promise<void> {
    const endsAt = performance.now() + ms;
    while (performance.now() < endsAt) {
      pending.push(sendJob(results));
      await sleep(REQUEST_GAP_MS);
    }
  }

  store.write("op/config", desiredState(1, [route("seal")]));
  await sleep(5000);
  await sendFor(5000, before);
  if (hasTrouble) {
    record.add("executors leave every second call unanswered");
    for (const executor of executors) {
      let calls = 0;
      executor.setLoss(() => (calls += 1) % 2 === 0);
    }
    await sendFor(LOSS_BEFORE_MS);
    record.add("final fault: all processes are killed");
    await Promise.all([...fronts, ...sides].map((program) => program.kill()));
    await sleep(RESTART_DELAY_MS);
    for (const program of [...fronts, ...sides]) program.start();
    setTimeout(() => {
      record.add("executors answer every call");
      for (const executor of executors) executor.setLoss(() => false);
    }, LOSS_AFTER_MS);
  }
  await sendFor(BOUNDS.recover_s * 1000);
  record.add("recover_s has passed; requests from here are judged");
  await sendFor(MEASURED_MS, after);
  await Promise.all(pending);
  await deployment.stop();

  const servedBefore = before.filter(({ status }) => status === 200).length;
  const servedAfter = after.filter(({ status }) => status === 200).length;
  console.log(
    `served before: ${servedBefore} of ${before.length}; ` +
      `later than recover_s: ${servedAfter} of ${after.length}`,
  );
  return servedAfter < after.length / 4
    ? [`RECOVER: ${servedAfter} of ${after.length} requests were served`]
    : [];
});
