/** Accepts incoming streams from other processes. */
import { type AddressInfo, createServer, type Socket } from "node:net";
import { ListenFailed } from "@coltsfootreach/errors";
import { ResultAsync } from "neverthrow";
import { createSocketStream } from "./socket_stream.ts";
import type { FrameGuard, StreamHandler } from "./stream.ts";

/** After an outage, all sides of a fleet may connect at the same time. */
const BACKLOG_CONNECTIONS = 4096;

export interface ListenOptions<In, Out> {
  /** As `IP:port`; port 0 selects a free port. */
  readonly address: string;
  readonly isFrame: FrameGuard<In>;
  readonly accept: StreamHandler<In, Out>;
}

export interface StreamServer {
  readonly port: number;
  /** Closes all streams and stops accepting new ones. */
  close(): void;
}

export function listenForStreams<In, Out>(
  options: ListenOptions<In, Out>,
): ResultAsync<StreamServer, ListenFailed> {
  const sockets = new Set<Socket>();
  const server = createServer({ noDelay: true }, (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    const { stream, listen } = createSocketStream<In, Out>(
      socket,
      options.isFrame,
    );
    listen(options.accept(stream));
  });

  function close(): void {
    server.close();
    for (const socket of sockets) socket.destroySoon();
  }

  const [host, port] = options.address.split(":");
  const listening = new Promise<StreamServer>((resolve, reject) => {
    // Errors after startup, such as a failed accept, don't stop the server.
    server.on("error", reject);
    server.listen(
      { host: host!, port: Number(port), backlog: BACKLOG_CONNECTIONS },
      () => resolve({ port: (server.address() as AddressInfo).port, close }),
    );
  });
  return ResultAsync.fromPromise(
    listening,
    (error) => new ListenFailed("notRun", String(error)),
  );
}
