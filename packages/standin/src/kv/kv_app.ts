/** The routes of the stand-in for the etcd JSON gateway. */
import type { StoreCall } from "@coltsfootreach/store";
import { type Context, Hono } from "hono";
import type { z } from "zod";
import type { NodeEnvironment } from "../http/http_server.ts";
import type { Keyspace, Swapped } from "./keyspace.ts";
import {
  grantRequest,
  leaseRequest,
  rangeRequest,
  type SwapRequest,
  swapRequest,
  toKeyRange,
  toWirePair,
  watchRequest,
} from "./kv_request.ts";
import { openWatchStream } from "./kv_watch_stream.ts";
import type { KvService, Served } from "./service.ts";

type KvContext = Context<NodeEnvironment>;

/** A gRPC status, as the gateway reports it. */
interface Status {
  readonly code: number;
  readonly message: string;
}

interface Route<S extends z.ZodType> {
  readonly path: string;
  readonly call: StoreCall;
  readonly request: S;
  run(keyspace: Keyspace, request: z.infer<S>, nowMs: number): object | Status;
}

const LEASE_NOT_FOUND: Status = {
  code: 5,
  message: "etcdserver: requested lease not found",
};
const TOO_MANY_REQUESTS: Status = {
  code: 8,
  message: "etcdserver: too many requests",
};
const INVALID_ARGUMENT = 3;
const UNAVAILABLE: Status = { code: 14, message: "etcdserver: no leader" };

export function createKvApp(service: KvService): Hono<NodeEnvironment> {
  const app = new Hono<NodeEnvironment>();

  route({
    path: "/v3/kv/range",
    call: "read",
    request: rangeRequest,
    run: (keyspace, request) => {
      const pairs = keyspace.range(toKeyRange(request));
      return { kvs: pairs.map(toWirePair), count: String(pairs.length) };
    },
  });
  route({
    path: "/v3/kv/txn",
    call: "swap",
    request: swapRequest,
    run: (keyspace, request) => toWireSwap(applySwap(keyspace, request)),
  });
  route({
    path: "/v3/lease/grant",
    call: "grant",
    request: grantRequest,
    run: (keyspace, { TTL }, nowMs) => toWireLease(keyspace.grant(TTL, nowMs)),
  });
  route({
    path: "/v3/lease/keepalive",
    call: "renew",
    request: leaseRequest,
    run: (keyspace, { ID }, nowMs) => {
      const lease = keyspace.keepAlive(ID, nowMs);
      return { result: lease === undefined ? { ID } : toWireLease(lease) };
    },
  });
  for (const path of ["/v3/lease/revoke", "/v3/kv/lease/revoke"]) {
    route({
      path,
      call: "revoke",
      request: leaseRequest,
      run: (keyspace, { ID }) => keyspace.revoke(ID) ? {} : LEASE_NOT_FOUND,
    });
  }
  app.post("/v3/watch", async (context) => {
    const { create_request } = watchRequest.parse(await context.req.json());
    const served = await service.serve("watch", () => undefined);
    return served.kind === "answered"
      ? new Response(openWatchStream(service, create_request))
      : fail(context, served);
  });
  app.onError(({ message }, context) =>
    context.json({ code: INVALID_ARGUMENT, message }, 400)
  );
  return app;

  function route<S extends z.ZodType>(route: Route<S>): void {
    app.post(route.path, async (context) => {
      const request = route.request.parse(await context.req.json());
      const served = await service.serve(
        route.call,
        (keyspace, nowMs) => ({
          answer: route.run(keyspace, request, nowMs),
          header: { revision: String(keyspace.revision()) },
        }),
      );
      if (served.kind !== "answered") {
        return fail(context, served);
      }
      const { answer, header } = served.value;
      return isStatus(answer)
        ? context.json(answer, 404)
        : context.json({ header, ...answer });
    });
  }
}

function fail(
  context: KvContext,
  served: Exclude<Served<unknown>, { kind: "answered" }>,
): Response {
  switch (served.kind) {
    case "lost":
    case "refuse":
      context.env.incoming.socket.destroy();
      return context.body(null);
    case "unavailable":
      return context.json(UNAVAILABLE, 503);
    case "tooManyRequests":
      return context.json(TOO_MANY_REQUESTS, 429);
  }
}

function applySwap(keyspace: Keyspace, request: SwapRequest): Swapped {
  const [compare] = request.compare;
  const [operation] = request.success;
  const guard = {
    key: compare?.key ?? "",
    expectedRevision: compare?.mod_revision ?? 0,
  };
  const put = operation?.request_put;
  return put === undefined
    ? keyspace.delete(guard)
    : keyspace.put({ ...guard, value: put.value, lease: put.lease });
}

function toWireSwap(swapped: Swapped): object | Status {
  switch (swapped.kind) {
    case "swapped":
      return { succeeded: true, responses: [] };
    case "leaseNotFound":
      return LEASE_NOT_FOUND;
    case "conflict": {
      const { current } = swapped;
      const kvs = current === undefined ? [] : [toWirePair(current)];
      return { responses: [{ response_range: { kvs } }] };
    }
  }
}

function toWireLease(lease: { id: string; ttlSeconds: number }) {
  return { ID: lease.id, TTL: String(lease.ttlSeconds) };
}

function isStatus(answer: object | Status): answer is Status {
  return "code" in answer;
}
