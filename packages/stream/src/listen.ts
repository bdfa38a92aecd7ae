/** Takes in streams that other processes open. */
import { type AddressInfo, createServer, type Socket } from "node:net";
import { ListenFailed } from "@coltsfootreach/errors";
import { ResultAsync } from "neverthrow";
import { streamOver } from "./socket_stream.ts";
import type { Accept, FrameCheck } from "./stream.ts";

/** After an outage all sides of a fleet may connect at the same moment. */
const BACKLOG_CONNECTIONS = 4096;

export interface ListenOptions<In, Out> {
  /** As `IP:port`; port 0 picks a free one. */
  readonly address: string;
  readonly isFrame: FrameCheck<In>;
  readonly accept: Accept<In, Out>;
}

export interface StreamServer {
  readonly port: number;
  /** Ends all streams and takes no more. */
  close(): void;
}

export function listenForStreams<In, Out>(
  options: ListenOptions<In, Out>,
): ResultAsync<StreamServer, ListenFailed> {
  const sockets = new Set<Socket>();
  const server = createServer({ noDelay: true }, (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    const { stream, listen } = streamOver<In, Out>(socket, options.isFrame);
    listen(options.accept(stream));
  });

  function close(): void {
    server.close();
    for (const socket of sockets) socket.destroySoon();
  }

  const [host, port] = options.address.split(":");
  const bound = new Promise<StreamServer>((resolve, reject) => {
    // Later ones, as of a connection that can't be accepted, end nothing.
    server.on("error", reject);
    server.listen(
      { host: host!, port: Number(port), backlog: BACKLOG_CONNECTIONS },
      () => resolve({ port: (server.address() as AddressInfo).port, close }),
    );
  });
  return ResultAsync.fromPromise(
    bound,
    (error) => new ListenFailed("notRun", String(error)),
  );
}
