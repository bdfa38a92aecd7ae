/** Accepts streams from sides and from other entries. */
import { Server, ServerCredentials } from "@grpc/grpc-js";
import type { ServerDuplexStream } from "@grpc/grpc-js";
import { ResultAsync } from "neverthrow";
import { ListenFailed } from "@coltsfootreach/errors";
import type { EntryFrame, PeerFrame, SideFrame } from "@coltsfootreach/types";
import { CHANNEL_OPTIONS, LINK_SERVICE } from "./service.ts";
import type { StreamHandler } from "@coltsfootreach/stream";
import { createCallStream } from "./call_stream.ts";

export interface LinkServerOptions {
  /** Listen address, as `IP:port`; port 0 selects a free port. */
  readonly address: string;
  readonly credentials?: ServerCredentials | undefined;
  readonly acceptSide?: StreamHandler<SideFrame, EntryFrame>;
  readonly acceptPeer?: StreamHandler<PeerFrame, PeerFrame>;
}

export interface LinkServer {
  readonly port: number;
  close(): void;
}

type ServerCall = ServerDuplexStream<unknown, unknown>;

export function listenForLinks(
  options: LinkServerOptions,
): ResultAsync<LinkServer, ListenFailed> {
  const server = new Server(CHANNEL_OPTIONS);
  server.addService(LINK_SERVICE, {
    side: (call: ServerCall) => accept(call, options.acceptSide),
    peer: (call: ServerCall) => accept(call, options.acceptPeer),
  });
  const credentials = options.credentials ?? ServerCredentials.createInsecure();
  const binding = new Promise<LinkServer>((resolve, reject) => {
    server.bindAsync(options.address, credentials, (error, port) => {
      if (error !== null) reject(error);
      else resolve({ port, close: () => server.forceShutdown() });
    });
  });
  return ResultAsync.fromPromise(
    binding,
    (error) => new ListenFailed("notRun", String(error)),
  );
}

/** Ends the stream at once if there is no handler for its kind. */
function accept<In, Out>(
  call: ServerCall,
  acceptStream: StreamHandler<In, Out> | undefined,
): void {
  if (acceptStream === undefined) {
    call.end();
    return;
  }
  const callStream = createCallStream<Out>(call, () => call.end());
  callStream.listen(acceptStream(callStream.stream));
}
