/** Submits jobs to entries in a closed loop, to measure cost for each job. */
import { Pool } from "undici";

const TENANT = "tenant-0";

export const CLASS = "heat-check";

const HTTP_OK = 200;

const TASK_BODY = JSON.stringify({ sleepMs: 0, echo: "0123456789abcdef" });

export interface CallerOptions {
  readonly origins: readonly string[];
  readonly tasks: number;
  readonly jobs: number;
  /** Jobs under way at once. */
  readonly concurrency: number;
  /** Start of the keys; no two runs may share it. */
  readonly prefix: string;
}

/** Returns how many jobs were answered complete. */
export async function submitJobs(options: CallerOptions): Promise<number> {
  const pools = options.origins.map((origin) =>
    new Pool(origin, { connections: options.concurrency })
  );
  let next = 0;
  let complete = 0;

  async function submitOne(number: number): Promise<void> {
    const answer = await pools[number % pools.length]!.request({
      method: "POST",
      path: `/v1/tenants/${TENANT}/jobs`,
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        key: `${options.prefix}-${number}`,
        class: CLASS,
        firstSubmittedAtMs: Date.now(),
        tasks: Array.from(
          { length: options.tasks },
          () => ({ body: TASK_BODY }),
        ),
      }),
    });
    const text = await answer.body.text();
    const isComplete = answer.statusCode === HTTP_OK &&
      JSON.parse(text).state === "complete";
    if (isComplete) complete += 1;
  }

  async function work(): Promise<void> {
    while (next < options.jobs) {
      next += 1;
      await submitOne(next);
    }
  }

  await Promise.all(Array.from({ length: options.concurrency }, work));
  await Promise.all(pools.map((pool) => pool.close()));
  return complete;
}
