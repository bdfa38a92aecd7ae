/**
 * The callers' HTTP interface: submit, read and cancel a job. Every answer and
 * every refusal carries a verdict.
 */
import { Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import type { Context } from "hono";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import type { Ask } from "@coltsfootreach/coordinate";
import {
  type JobId,
  jobId,
  type Refusal,
  type RefusalCode,
  type Reply,
} from "@coltsfootreach/types";
import { createJobReader, type JobLimits, malformed } from "./body.ts";

/** What the interface needs of the entry behind it. */
export interface Desk {
  request(job: JobId, ask: Ask): Promise<Reply>;
  isReady(): boolean;
  /** Metrics as text for a collector. */
  metrics(): string;
  /** Called when an answer has been handed to the caller's connection. */
  answered(done: Answered): void;
}

/** One answered submission, for the histograms. */
export interface Answered {
  readonly tenant: string;
  readonly class: string;
  readonly responseMs: number;
  readonly reply: Reply;
}

export interface AppOptions extends JobLimits {
  readonly desk: Desk;
  readonly bodyBytes: number;
  /** False for a tenant that the configuration does not name. */
  isTenant(name: string): boolean;
}

const STATUS: Record<RefusalCode, ContentfulStatusCode> = {
  malformed: 400,
  unknownTenant: 403,
  unknownClass: 400,
  conflict: 409,
  tooOld: 410,
  tooMuchQueued: 429,
  deadlineUnreachable: 503,
  overQuota: 429,
  draining: 503,
  undecided: 503,
  unknownJob: 404,
};

const HTTP_ACCEPTED = 202;

const MS_PER_SECOND = 1000;

export function createApp(options: AppOptions): Hono {
  const { desk } = options;
  const readJob = createJobReader(options);
  const app = new Hono();

  app.use(async (context, next) => {
    await next();
    // Callers that keep connections open move on to another entry.
    if (!desk.isReady()) context.header("connection", "close");
  });

  app.get("/livez", (context) => context.text("ok"));
  app.get("/readyz", (context) => {
    return desk.isReady() ? context.text("ok") : context.text("not ready", 503);
  });
  app.get("/metrics", (context) => context.text(desk.metrics()));

  const limit = bodyLimit({
    maxSize: options.bodyBytes,
    onError: (context) =>
      refuse(context, malformed("the body is larger than allowed"), 413),
  });

  app.post("/v1/tenants/:tenant/jobs", limit, async (context) => {
    const receivedAtMs = performance.now();
    const tenant = context.req.param("tenant");
    if (!options.isTenant(tenant)) return refuse(context, unknown(tenant));
    const body = await context.req.json().catch(() => undefined);
    if (body === undefined) {
      return refuse(context, malformed("the body is not JSON"));
    }
    const job = readJob(tenant, body);
    if (job.isErr()) return refuse(context, job.error);
    const wait = context.req.query("wait") !== "0";
    const ask: Ask = { kind: "submit", job: job.value, wait };
    const reply = await desk.request(jobId(job.value), ask);
    const responseMs = performance.now() - receivedAtMs;
    const marked = markLate(reply, responseMs > job.value.deadlineMs);
    const { class: className } = job.value;
    desk.answered({ tenant, class: className, responseMs, reply: marked });
    return send(context, marked);
  });

  app.get("/v1/tenants/:tenant/jobs/:key", async (context) => {
    return send(context, await desk.request(idOf(context), { kind: "read" }));
  });

  app.delete("/v1/tenants/:tenant/jobs/:key", async (context) => {
    const reply = await desk.request(idOf(context), { kind: "cancel" });
    return send(context, reply);
  });

  app.notFound((context) =>
    refuse(context, malformed("there is no such path"), 404)
  );
  return app;
}

function idOf(context: Context): JobId {
  const tenant = context.req.param("tenant") ?? "";
  const key = context.req.param("key") ?? "";
  return jobId({ tenant, key });
}

/** An answer that was ready in time may still have come late to this entry. */
function markLate(reply: Reply, isLate: boolean): Reply {
  if (reply.kind !== "answered" || !isLate) return reply;
  return { ...reply, answer: { ...reply.answer, late: true } };
}

function send(context: Context, reply: Reply): Response {
  switch (reply.kind) {
    case "answered":
      return context.json(reply.answer);
    case "pending":
      return context.json(reply, HTTP_ACCEPTED);
    case "refused":
      return refuse(context, reply.refusal);
  }
}

function refuse(
  context: Context,
  refusal: Refusal,
  status?: ContentfulStatusCode,
): Response {
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.ceil(refusal.retryAfterMs / MS_PER_SECOND);
    context.header("retry-after", String(seconds));
  }
  return context.json(refusal, status ?? STATUS[refusal.code]);
}

function unknown(tenant: string): Refusal {
  return {
    code: "unknownTenant",
    verdict: "notRun",
    reason: `tenant ${tenant} is not in the configuration`,
  };
}
