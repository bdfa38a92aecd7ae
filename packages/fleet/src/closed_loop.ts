/**
 * Submits jobs to entries in a closed loop, to measure the cost of each. It is
 * no measure of response times, since a slow answer delays the next job.
 */
import { Pool } from "undici";

const TENANT = "tenant-0";

const HTTP_OK = 200;

const TASK_BODY = JSON.stringify({ sleepMs: 0, echo: "0123456789abcdef" });

export interface ClosedLoopOptions {
  readonly origins: readonly string[];
  readonly class: string;
  readonly tasks: number;
  readonly jobs: number;
  /** Jobs under way at once. */
  readonly concurrency: number;
  /** Start of the keys; no two runs may share it. */
  readonly prefix: string;
}

/** Returns how many jobs were answered complete. */
export async function submitJobs(options: ClosedLoopOptions): Promise<number> {
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
        class: options.class,
        firstSubmittedAtMs: Date.now(),
        tasks: Array.from(
          { length: options.tasks },
          () => ({ body: TASK_BODY }),
        ),
      }),
    });
    const text = await answer.body.text();
    if (answer.statusCode === HTTP_OK && isComplete(text)) complete += 1;
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

/** The answer's own state comes before those of its tasks. */
function isComplete(answer: string): boolean {
  return /"state":"(\w+)"/.exec(answer)?.[1] === "complete";
}
