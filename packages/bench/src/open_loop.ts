/**
 * Submits jobs at their scheduled times, whatever is still unanswered. The
 * response time runs from the scheduled time, so a late submission counts.
 */
import { setMaxListeners } from "node:events";
import { Agent } from "undici";
import type { Answer, Refusal } from "@coltsfootreach/types";
import type { TrialJob } from "@coltsfootreach/trial";

const HTTP_OK = 200;

export interface OpenLoopOptions {
  readonly origins: readonly string[];
  readonly jobs: readonly TrialJob[];
  /** How long after the last submission answers are waited for. */
  readonly graceMs: number;
}

export type End =
  | {
    readonly kind: "answered";
    readonly job: TrialJob;
    readonly answer: Answer;
    readonly responseMs: number;
  }
  | {
    readonly kind: "refused";
    readonly job: TrialJob;
    readonly refusal: Refusal;
  }
  /** No answer came in time, or the connection broke. */
  | { readonly kind: "none"; readonly job: TrialJob };

export async function submitOnSchedule(
  options: OpenLoopOptions,
): Promise<readonly End[]> {
  const { jobs, origins } = options;
  // Without a bound on connections, no job waits behind another one here.
  const agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  const over = new AbortController();
  setMaxListeners(0, over.signal);
  const startedAtMs = performance.now();

  async function submit(job: TrialJob, origin: string): Promise<End> {
    try {
      const { statusCode, body } = await agent.request({
        origin,
        path: `/v1/tenants/${job.tenant}/jobs`,
        method: "POST",
        headers: { "content-type": "application/json" },
        body: bodyOf(job),
        signal: over.signal,
      });
      const content = await body.json();
      const responseMs = performance.now() - startedAtMs - job.atMs;
      return statusCode === HTTP_OK
        ? { kind: "answered", job, answer: content as Answer, responseMs }
        : { kind: "refused", job, refusal: content as Refusal };
    } catch {
      return { kind: "none", job };
    }
  }

  const ends: Promise<End>[] = [];
  for (const [number, job] of jobs.entries()) {
    const waitMs = startedAtMs + job.atMs - performance.now();
    if (waitMs > 0) await new Promise((wake) => setTimeout(wake, waitMs));
    ends.push(submit(job, origins[number % origins.length]!));
  }
  const timer = setTimeout(() => over.abort(), options.graceMs);
  const all = await Promise.all(ends);
  clearTimeout(timer);
  await agent.destroy();
  return all;
}

function bodyOf(job: TrialJob): string {
  return JSON.stringify({
    key: job.id.split("\n")[1],
    class: job.class,
    deadlineMs: job.deadlineMs,
    firstSubmittedAtMs: Date.now(),
    tasks: job.tasks.map(({ runMs, declaredMs }, index) => ({
      body: JSON.stringify({ sleepMs: runMs, echo: `${job.id}/${index}` }),
      declaredMs,
    })),
  });
}
