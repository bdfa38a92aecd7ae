/**
 * A stand-in for the key-value service: a subset of the etcd JSON gateway on
 * loopback with scripted faults. Faults are set and calls are read under
 * `/standin`, at the service's own address and at one that has no outages.
 */
import { Hono } from "hono";
import { type Clock, SYSTEM_CLOCK } from "../clock/clock.ts";
import {
  type HttpServer,
  type NodeEnvironment,
  startHttpServer,
} from "../http/http_server.ts";
import { type KvFaultRequest, kvFaultRequest } from "./fault.ts";
import { createKvApp } from "./kv_app.ts";
import { createKvService, type KvService } from "./service.ts";

export interface KvStandinOptions {
  /** Port of the service; 0 takes a free one. */
  readonly port?: number | undefined;
  /** Port of the control address; 0 takes a free one. */
  readonly controlPort?: number | undefined;
  /** Interval of progress notifications in milliseconds. */
  readonly progressMs?: number | undefined;
  /** The service's time; the machine's unless a test brings its own. */
  readonly clock?: Clock | undefined;
}

export interface KvStandin {
  /** HTTP origin of the service. */
  readonly address: string;
  /** HTTP origin for `/standin` only; answers during outages too. */
  readonly controlAddress: string;
  setFaults(request: KvFaultRequest): Promise<void>;
  calls(): ReturnType<KvService["faults"]["calls"]>;
  close(): Promise<void>;
}

const DEFAULT_PROGRESS_MS = 500;

export async function createKvStandin(
  options: KvStandinOptions = {},
): Promise<KvStandin> {
  const service = createKvService({
    clock: options.clock ?? SYSTEM_CLOCK,
    progressMs: options.progressMs ?? DEFAULT_PROGRESS_MS,
  });
  const control = createControlApp({
    setFaults,
    calls: service.faults.calls,
  });
  const app = createKvApp(service).route("/", control);
  const server: HttpServer = await startHttpServer(app, options.port);
  const controlServer = await startHttpServer(control, options.controlPort);

  return {
    address: server.origin,
    controlAddress: controlServer.origin,
    setFaults,
    calls: service.faults.calls,
    close,
  };

  async function setFaults(request: KvFaultRequest): Promise<void> {
    service.setFaults(request);
    if (service.faults.script().outage === "refusing") {
      server.stop();
    } else {
      await server.restart();
    }
  }

  async function close(): Promise<void> {
    service.close();
    await server.close();
    await controlServer.close();
  }
}

function createControlApp(
  { setFaults, calls }: Pick<KvStandin, "setFaults" | "calls">,
): Hono<NodeEnvironment> {
  const app = new Hono<NodeEnvironment>();
  app.post("/standin/faults", async (context) => {
    const request = kvFaultRequest.safeParse(await context.req.json());
    if (!request.success) {
      return context.text(request.error.message, 400);
    }
    await setFaults(request.data);
    return context.body(null, 204);
  });
  app.get("/standin/calls", (context) => context.json(calls()));
  return app;
}
