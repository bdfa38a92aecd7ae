/**
 * A caller with a client library: submits a job through the balancer, and
 * submits the same body under the same key to another entry when a connection
 * is lost or an entry cannot decide.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Answer, Refusal } from "@coltsfootreach/types";
import { Agent, request } from "undici";
import type { Balancer } from "./balancer.ts";
import type { Attempt, Copy } from "./check.ts";
import type { PlannedJob } from "./workload.ts";

/** Patience beyond the deadline before a connection is given up. */
const PATIENCE_MS = 3000;

const PAUSE_MS = 100;

const CANCEL_TIMEOUT_MS = 10_000;

const HTTP_OK = 200;

const RETRIED = ["undecided", "draining"];

export interface Callers {
  /** Submits until the job is answered or refused, or time is up. */
  submit(job: PlannedJob, options?: SubmitOptions): Promise<Copy>;
  cancel(job: PlannedJob): Promise<Attempt>;
  /** From now on nothing is submitted again. */
  giveUp(): void;
  close(): Promise<void>;
}

export interface SubmitOptions {
  /** Gives up the first connection after this time. */
  readonly dropAfterMs?: number | undefined;
}

export function createCallers(balancer: Balancer): Callers {
  const agent = new Agent({
    connections: 256,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const bodies = new Map<string, string>();
  let isOver = false;

  function bodyOf(job: PlannedJob): string {
    const known = bodies.get(job.key);
    if (known !== undefined) return known;
    const body = JSON.stringify({
      key: job.key,
      class: job.class,
      deadlineMs: job.deadlineMs,
      firstSubmittedAtMs: Date.now(),
      tasks: job.tasks.map((task) => ({ body: JSON.stringify(task) })),
    });
    bodies.set(job.key, body);
    return body;
  }

  async function exchange(
    url: string,
    options: {
      readonly method: "POST" | "DELETE";
      readonly body?: string;
      readonly timeoutMs: number;
    },
  ): Promise<Attempt> {
    const sentAtMs = performance.now();
    const attempt = { url, sentAtMs };
    const { method, body, timeoutMs } = options;
    try {
      const response = await request(url, {
        dispatcher: agent,
        method,
        body: body ?? null,
        headers: { "content-type": "application/json" },
        signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
      });
      const content: unknown = await response.body.json();
      const endedAtMs = performance.now();
      return response.statusCode === HTTP_OK
        ? { ...attempt, endedAtMs, answer: content as Answer }
        : { ...attempt, endedAtMs, refusal: content as Refusal };
    } catch (error) {
      const endedAtMs = performance.now();
      return { ...attempt, endedAtMs, lost: String(error) };
    }
  }

  async function submit(
    job: PlannedJob,
    options: SubmitOptions = {},
  ): Promise<Copy> {
    const attempts: Attempt[] = [];
    let origin: string | undefined;
    while (!isOver) {
      origin = balancer.choose(origin);
      if (origin === undefined) {
        await sleep(PAUSE_MS);
        continue;
      }
      const isFirst = attempts.length === 0;
      const patienceMs = job.deadlineMs + PATIENCE_MS;
      const timeoutMs = isFirst
        ? options.dropAfterMs ?? patienceMs
        : patienceMs;
      const attempt = await exchange(
        `${origin}/v1/tenants/${job.tenant}/jobs`,
        {
          method: "POST",
          body: bodyOf(job),
          timeoutMs,
        },
      );
      attempts.push(attempt);
      if (isFinal(attempt)) break;
      await sleep(PAUSE_MS);
    }
    return { job, attempts };
  }

  return {
    submit,
    async cancel(job) {
      let origin = balancer.choose();
      while (origin === undefined && !isOver) {
        await sleep(PAUSE_MS);
        origin = balancer.choose();
      }
      const url = `${origin}/v1/tenants/${job.tenant}/jobs/${job.key}`;
      return await exchange(url, {
        method: "DELETE",
        timeoutMs: CANCEL_TIMEOUT_MS,
      });
    },
    giveUp() {
      isOver = true;
    },
    close: () => agent.destroy(),
  };
}

function isFinal(attempt: Attempt): boolean {
  if (attempt.answer !== undefined) return true;
  const { refusal } = attempt;
  return refusal !== undefined && !RETRIED.includes(refusal.code);
}
