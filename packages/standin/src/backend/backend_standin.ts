/**
 * A stand-in for a backend server: it announces itself to its side, takes
 * tasks over HTTP on loopback and keeps a record of every start.
 */
import type { Announcement, ComputeResources } from "@coltsfootreach/types";
import type { Socket } from "node:net";
import { SYSTEM_CLOCK } from "../clock/clock.ts";
import { startHttpServer } from "../http/http_server.ts";
import { createAnnouncer } from "./announcer.ts";
import { createBackendApp } from "./backend_app.ts";
import type { BackendFaultRequest } from "./backend_fault.ts";
import { createRunner } from "./runner.ts";
import { createTaskLog, type StartRecord } from "./task_log.ts";

export interface BackendStandinOptions {
  readonly server: string;
  /** HTTP origin of the side; without one nothing is announced. */
  readonly sideOrigin?: string | undefined;
  readonly port?: number | undefined;
  readonly slots?: number | undefined;
  readonly connections?: number | undefined;
  readonly classes?: readonly string[] | undefined;
  readonly size?: ComputeResources | undefined;
  /** Divides the time that tasks take. */
  readonly speed?: number | undefined;
  readonly failEverything?: boolean | undefined;
}

export interface BackendStandin {
  readonly announcement: Announcement;
  setFaults(request: BackendFaultRequest): void;
  /** Every start, oldest first. */
  starts(): readonly StartRecord[];
  /** Tasks that run now. */
  running(): number;
  /** Tells the side that the server leaves; running tasks go on. */
  leave(): Promise<void>;
  /** Stops without a goodbye, as a server that dies. */
  close(): Promise<void>;
}

const DEFAULT_SLOTS = 8;
const DEFAULT_CONNECTIONS = 60;
const DEFAULT_SIZE: ComputeResources = {
  cores: 16,
  memoryMb: 65_536,
  accelerators: 0,
};

export async function createBackendStandin(
  options: BackendStandinOptions,
): Promise<BackendStandin> {
  const slots = options.slots ?? DEFAULT_SLOTS;
  const log = createTaskLog(slots);
  const runner = createRunner(SYSTEM_CLOCK);
  const silent = new WeakSet<Socket>();
  let speed = options.speed ?? 1;
  let failEverything = options.failEverything ?? false;

  const app = createBackendApp({
    log,
    runner,
    clock: SYSTEM_CLOCK,
    speed: () => speed,
    failsEverything: () => failEverything,
    setFaults,
    isSilent: (context) => silent.has(context.env.incoming.socket),
  });
  const http = await startHttpServer(app, options.port);
  const announcement: Announcement = {
    server: options.server,
    origin: http.origin,
    slots,
    connections: options.connections ?? DEFAULT_CONNECTIONS,
    classes: options.classes ?? [],
    size: options.size ?? DEFAULT_SIZE,
  };
  const { sideOrigin } = options;
  const announcer = sideOrigin === undefined
    ? undefined
    : createAnnouncer({ sideOrigin, announcement });
  announcer?.start();

  return {
    announcement,
    setFaults,
    starts: log.starts,
    running: log.running,
    leave: async () => await announcer?.leave(),
    close,
  };

  function setFaults(request: BackendFaultRequest): void {
    speed = request.speed ?? speed;
    failEverything = request.failEverything ?? failEverything;
    if (request.silenceConnections) {
      http.sockets().forEach((socket) => silent.add(socket));
    }
    if (request.announcing !== undefined) {
      setAnnouncing(request.announcing);
    }
  }

  function setAnnouncing(announcing: boolean): void {
    if (announcing) {
      announcer?.start();
    } else {
      announcer?.stop();
    }
  }

  async function close(): Promise<void> {
    announcer?.stop();
    runner.close();
    await http.close();
  }
}
