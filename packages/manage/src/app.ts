/**
 * Routes of the management API. All of them are read-only and require the
 * bearer token.
 */
import { Hono } from "hono";
import { laggards } from "@coltsfootreach/configure";
import { createTokenVerifier } from "./token.ts";
import type { EntryStatus, EntryView, StatusReport } from "./view.ts";

export interface ManagementOptions {
  readonly view: EntryView;
  readonly token: string;
}

export function createManagementApp(
  { view, token }: ManagementOptions,
): Hono {
  const isAuthorized = createTokenVerifier(token);
  const app = new Hono();

  app.use(async (context, next) => {
    if (isAuthorized(context.req.header("authorization"))) return await next();
    context.header("www-authenticate", "Bearer");
    return context.json({ reason: "a bearer token is needed" }, 401);
  });

  app.get(
    "/status",
    (context) => context.json(createStatusReport(view.status())),
  );

  app.get("/top", (context) => context.json(view.top()));

  app.get("/acts", (context) => context.json(view.acts()));

  app.get("/acts/:id", (context) => {
    const action = view.act(context.req.param("id"));
    if (action !== undefined) return context.json(action);
    return context.json({ reason: "no such act is kept here" }, 404);
  });

  app.get("/jobs/:tenant/:key", (context) => {
    const { tenant, key } = context.req.param();
    const job = view.job(tenant, key);
    if (job !== undefined) return context.json(job);
    return context.json({ reason: "no such job is kept here" }, 404);
  });

  app.get("/tasks/:tenant/:key/:index", (context) => {
    const { tenant, key, index } = context.req.param();
    const tasks = view.job(tenant, key)?.tasks;
    const task = tasks?.find((item) => String(item.index) === index);
    if (task !== undefined) return context.json(task);
    return context.json({ reason: "no such task is kept here" }, 404);
  });

  app.notFound((context) => context.json({ reason: "no such path" }, 404));
  return app;
}

/** Adds lagging processes and differences from the inventory to a status. */
export function createStatusReport(status: EntryStatus): StatusReport {
  const present = new Set(status.presentServers);
  const expected = new Set(status.expectedServers);
  return {
    ...status,
    laggards: laggards(status.processes, status.newest, status.nowMs),
    missingServers: status.expectedServers.filter((name) => !present.has(name)),
    unexpectedServers: status.presentServers
      .filter((name) => !expected.has(name)),
  };
}
