/** Submits jobs to a fleet and keeps what came back. */
import type { Answer, Refusal } from "@coltsfootreach/types";

export interface SubmittedJob {
  readonly key: string;
  readonly tenant: string;
  readonly class: string;
  readonly firstSubmittedAtMs: number;
  readonly tasks: readonly { readonly body: string }[];
}

export type Returned =
  | {
    readonly kind: "answer";
    readonly job: SubmittedJob;
    readonly answer: Answer;
    readonly responseMs: number;
  }
  | {
    readonly kind: "refusal";
    readonly job: SubmittedJob;
    readonly refusal: Refusal;
  }
  | { readonly kind: "lost"; readonly job: SubmittedJob };

export async function submit(
  origin: string,
  job: SubmittedJob,
): Promise<Returned> {
  const { tenant, ...body } = job;
  const startedAtMs = performance.now();
  try {
    const response = await fetch(`${origin}/v1/tenants/${tenant}/jobs`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
    });
    const content: unknown = await response.json();
    const responseMs = performance.now() - startedAtMs;
    return response.ok
      ? { kind: "answer", job, answer: content as Answer, responseMs }
      : { kind: "refusal", job, refusal: content as Refusal };
  } catch {
    return { kind: "lost", job };
  }
}
