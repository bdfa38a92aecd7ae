/** The routes of the stand-in backend server. */
import { type Context, Hono } from "hono";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import { z } from "zod";
import type { Clock } from "../clock/clock.ts";
import type { NodeEnvironment } from "../http/http_server.ts";
import {
  type BackendFaultRequest,
  backendFaultRequest,
} from "./backend_fault.ts";
import { parseWork, type Work } from "./backend_task.ts";
import type { Runner } from "./runner.ts";
import type { Outcome, TaskLog } from "./task_log.ts";

export interface BackendParts {
  readonly log: TaskLog;
  readonly runner: Runner;
  readonly clock: Clock;
  speed(): number;
  failsEverything(): boolean;
  setFaults(request: BackendFaultRequest): void;
  /** True when the connection of a request is never answered again. */
  isSilent(context: TaskContext): boolean;
}

export type TaskContext = Context<NodeEnvironment>;

const CLASS_HEADER = "coltsfootreach-class";
const VERDICT_HEADER = "coltsfootreach-verdict";
const NOT_RUN = { [VERDICT_HEADER]: "notRun" };
const RAN = { [VERDICT_HEADER]: "ran" };

const throttleRequest = z.object({ share: z.number().positive().max(1) });

export function createBackendApp(
  parts: BackendParts,
): Hono<NodeEnvironment> {
  const { log, runner, clock } = parts;
  const app = new Hono<NodeEnvironment>();

  app.post("/tasks/:id", async (context) => {
    const body = await context.req.text();
    if (parts.isSilent(context)) {
      return never();
    }
    const answer = await take(context, body);
    return parts.isSilent(context) ? never() : answer;
  });
  app.use("*", (context, next) => parts.isSilent(context) ? never() : next());
  app.get("/tasks/:id", (context) => context.json(log.report(idOf(context))));
  app.post(
    "/tasks/:id/revocation",
    (context) => context.json({ state: log.revoke(idOf(context)) }),
  );
  app.post(
    "/tasks/:id/stop",
    (context) => controlled(context, runner.stop(idOf(context))),
  );
  app.post(
    "/tasks/:id/checkpoint",
    (context) => controlled(context, runner.checkpoint(idOf(context))),
  );
  app.post("/tasks/:id/throttle", async (context) => {
    const request = throttleRequest.safeParse(await context.req.json());
    return request.success
      ? controlled(context, runner.throttle(idOf(context), request.data.share))
      : context.text(request.error.message, 400);
  });
  app.post("/standin/faults", async (context) => {
    const request = backendFaultRequest.safeParse(await context.req.json());
    if (!request.success) {
      return context.text(request.error.message, 400);
    }
    parts.setFaults(request.data);
    return context.body(null, 204);
  });
  app.get("/standin/starts", (context) => {
    const starts = log.starts();
    const originMs = performance.timeOrigin;
    return context.json({ counts: countById(starts), starts, originMs });
  });
  return app;

  async function take(context: TaskContext, body: string): Promise<Response> {
    const id = idOf(context);
    const record = {
      id,
      class: context.req.header(CLASS_HEADER) ?? "",
      atMs: clock.nowMs(),
    };
    switch (log.start(record)) {
      case "revoked":
        return context.text("revoked", 409, NOT_RUN);
      case "full":
        return context.text("no slot is free", 503, NOT_RUN);
      case "started": {
        const outcome = await work(id, parseWork(body));
        log.finish(id, outcome);
        const status = outcome.status as ContentfulStatusCode;
        return context.text(outcome.body, status, RAN);
      }
    }
  }

  async function work(id: string, wanted: Work): Promise<Outcome> {
    if (parts.failsEverything()) {
      return { status: 500, body: "failed" };
    }
    if (wanted.sleepMs > 0) {
      const durationMs = wanted.sleepMs / parts.speed();
      if (await runner.run({ id, durationMs }) === "stopped") {
        return { status: 500, body: "stopped" };
      }
    }
    return wanted.fail
      ? { status: 500, body: "failed" }
      : { status: 200, body: wanted.echo };
  }
}

function idOf(context: TaskContext): string {
  return context.req.param("id") ?? "";
}

function controlled(context: TaskContext, found: boolean): Response {
  return found
    ? context.body(null, 204)
    : context.text("no such task runs", 404);
}

function countById(
  starts: readonly { readonly id: string }[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { id } of starts) {
    counts[id] = (counts[id] ?? 0) + 1;
  }
  return counts;
}

function never(): Promise<never> {
  return new Promise(() => {});
}
