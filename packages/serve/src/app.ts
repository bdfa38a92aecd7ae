/**
 * HTTP API for callers: submits, reads and cancels jobs. Every answer and
 * every refusal states by its verdict whether the job ran.
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
import { createJobParser, type JobLimits, malformed } from "./body.ts";

/** The operations of the entry that the API depends on. */
export interface JobService {
  request(job: JobId, request: Ask): Promise<Reply>;
  isReady(): boolean;
  /** Returns the metrics in the Prometheus text format. */
  metrics(): string;
  /** Called when the reply to a submission is about to be sent. */
  answered(submission: AnsweredSubmission): void;
}

/** A submission and its reply, recorded in the histograms. */
export interface AnsweredSubmission {
  readonly tenant: string;
  readonly class: string;
  readonly responseMs: number;
  readonly reply: Reply;
}

export interface AppOptions extends JobLimits {
  readonly jobService: JobService;
  readonly bodyBytes: number;
  /** Returns false for a tenant that is missing from the configuration. */
  isKnownTenant(name: string): boolean;
}

const REFUSAL_STATUS: Record<RefusalCode, ContentfulStatusCode> = {
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

export function createCallerApp(options: AppOptions): Hono {
  const { jobService } = options;
  const parseJob = createJobParser(options);
  const app = new Hono();

  app.use(async (context, next) => {
    await next();
    // Makes callers with keep-alive connections reconnect to another entry.
    if (!jobService.isReady()) context.header("connection", "close");
  });

  app.get("/livez", (context) => context.text("ok"));
  app.get("/readyz", (context) => {
    return jobService.isReady()
      ? context.text("ok")
      : context.text("not ready", 503);
  });
  app.get("/metrics", (context) => context.text(jobService.metrics()));

  const limitBodySize = bodyLimit({
    maxSize: options.bodyBytes,
    onError: (context) =>
      sendRefusal(context, malformed("the body is larger than allowed"), 413),
  });

  app.post("/v1/tenants/:tenant/jobs", limitBodySize, async (context) => {
    const receivedAtMs = performance.now();
    const tenant = context.req.param("tenant");
    if (!options.isKnownTenant(tenant)) {
      return sendRefusal(context, unknownTenant(tenant));
    }
    const body = await context.req.json().catch(() => undefined);
    if (body === undefined) {
      return sendRefusal(context, malformed("the body is not JSON"));
    }
    const job = parseJob(tenant, body);
    if (job.isErr()) return sendRefusal(context, job.error);
    const wait = context.req.query("wait") !== "0";
    const request: Ask = { kind: "submit", job: job.value, wait };
    const reply = await jobService.request(jobId(job.value), request);
    const responseMs = performance.now() - receivedAtMs;
    const finalReply = markLate(reply, responseMs > job.value.deadlineMs);
    const { class: className } = job.value;
    jobService.answered({
      tenant,
      class: className,
      responseMs,
      reply: finalReply,
    });
    return sendReply(context, finalReply);
  });

  app.get("/v1/tenants/:tenant/jobs/:key", async (context) => {
    return sendReply(
      context,
      await jobService.request(jobIdFromPath(context), { kind: "read" }),
    );
  });

  app.delete("/v1/tenants/:tenant/jobs/:key", async (context) => {
    const reply = await jobService.request(jobIdFromPath(context), {
      kind: "cancel",
    });
    return sendReply(context, reply);
  });

  app.notFound((context) =>
    sendRefusal(context, malformed("there is no such path"), 404)
  );
  return app;
}

function jobIdFromPath(context: Context): JobId {
  const tenant = context.req.param("tenant") ?? "";
  const key = context.req.param("key") ?? "";
  return jobId({ tenant, key });
}

/** An answer that was ready in time may still reach this entry too late. */
function markLate(reply: Reply, isLate: boolean): Reply {
  if (reply.kind !== "answered" || !isLate) return reply;
  return { ...reply, answer: { ...reply.answer, late: true } };
}

function sendReply(context: Context, reply: Reply): Response {
  switch (reply.kind) {
    case "answered":
      return context.json(reply.answer);
    case "pending":
      return context.json(reply, HTTP_ACCEPTED);
    case "refused":
      return sendRefusal(context, reply.refusal);
  }
}

function sendRefusal(
  context: Context,
  refusal: Refusal,
  status?: ContentfulStatusCode,
): Response {
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.ceil(refusal.retryAfterMs / MS_PER_SECOND);
    context.header("retry-after", String(seconds));
  }
  return context.json(refusal, status ?? REFUSAL_STATUS[refusal.code]);
}

function unknownTenant(tenant: string): Refusal {
  return {
    code: "unknownTenant",
    verdict: "notRun",
    reason: `tenant ${tenant} is not in the configuration`,
  };
}
