/** Takes in streams from sides and from other entries. */
import { Server, ServerCredentials } from "@grpc/grpc-js";
import type { ServerDuplexStream } from "@grpc/grpc-js";
import { ResultAsync } from "neverthrow";
import { ListenFailed } from "@coltsfootreach/errors";
import type { EntryFrame, PeerFrame, SideFrame } from "@coltsfootreach/types";
import { CHANNEL_OPTIONS, LINK_SERVICE } from "./service.ts";
import type { StreamHandler } from "@coltsfootreach/stream";
import { wrapCall } from "./wrap.ts";

export interface LinkServerOptions {
  /** Where to listen, as `IP:port`; port 0 picks a free one. */
  readonly address: string;
  readonly credentials?: ServerCredentials | undefined;
  readonly acceptSide?: StreamHandler<SideFrame, EntryFrame>;
  readonly acceptPeer?: StreamHandler<PeerFrame, PeerFrame>;
}

export interface LinkServer {
  readonly port: number;
  close(): void;
}

type Duplex = ServerDuplexStream<unknown, unknown>;

export function listenForLinks(
  options: LinkServerOptions,
): ResultAsync<LinkServer, ListenFailed> {
  const server = new Server(CHANNEL_OPTIONS);
  server.addService(LINK_SERVICE, {
    side: (call: Duplex) => accept(call, options.acceptSide),
    peer: (call: Duplex) => accept(call, options.acceptPeer),
  });
  const credentials = options.credentials ?? ServerCredentials.createInsecure();
  const bound = new Promise<LinkServer>((resolve, reject) => {
    server.bindAsync(options.address, credentials, (error, port) => {
      if (error !== null) reject(error);
      else resolve({ port, close: () => server.forceShutdown() });
    });
  });
  return ResultAsync.fromPromise(
    bound,
    (error) => new ListenFailed("notRun", String(error)),
  );
}

/** Streams of a kind that nobody here takes are ended at once. */
function accept<In, Out>(
  call: Duplex,
  to: StreamHandler<In, Out> | undefined,
): void {
  if (to === undefined) {
    call.end();
    return;
  }
  const wrapped = wrapCall<Out>(call, () => call.end());
  wrapped.listen(to(wrapped.stream));
}
