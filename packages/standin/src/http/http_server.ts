/**
 * An HTTP server on loopback that can drop its connections, stop listening and
 * listen again on the same port.
 */
import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import type { Hono } from "hono";
import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";

const LOOPBACK = "127.0.0.1";

/** Gives handlers the Node request and its socket. */
export interface NodeEnvironment {
  readonly Bindings: HttpBindings;
}

export interface HttpServer {
  /** HTTP origin of the server. */
  readonly origin: string;
  /** The connections open now. */
  sockets(): readonly Socket[];
  /** Refuses new connections and breaks the open ones. */
  stop(): void;
  /** Listens again on the same port. */
  restart(): Promise<void>;
  close(): Promise<void>;
}

export async function startHttpServer(
  app: Hono<NodeEnvironment>,
  port = 0,
): Promise<HttpServer> {
  const server = createAdaptorServer({
    fetch: app.fetch as (request: Request) => Response | Promise<Response>,
    overrideGlobalObjects: false,
  }) as Server;
  const sockets = new Set<Socket>();
  server.on("connection", track);
  await listen(port);
  const bound = (server.address() as AddressInfo).port;

  return {
    origin: `http://${LOOPBACK}:${bound}`,
    sockets: () => [...sockets],
    stop,
    restart: () => listen(bound),
    close,
  };

  function track(socket: Socket): void {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  }

  async function listen(wanted: number): Promise<void> {
    if (!server.listening) {
      server.listen(wanted, LOOPBACK);
      await once(server, "listening");
    }
  }

  function stop(): void {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  }

  async function close(): Promise<void> {
    const closed = server.listening ? once(server, "close") : undefined;
    stop();
    await closed;
  }
}
