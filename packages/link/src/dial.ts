/** Opens streams to entries, each over a connection of its own. */
import { Client, credentials } from "@grpc/grpc-js";
import type { ChannelCredentials } from "@grpc/grpc-js";
import type { EntryFrame, PeerFrame, SideFrame } from "@coltsfootreach/types";
import { CHANNEL_OPTIONS, LINK_SERVICE } from "./service.ts";
import type { Stream, StreamListener } from "@coltsfootreach/stream";
import { wrapCall } from "./wrap.ts";

export interface Target {
  /** The entry's link address, as `IP:port`. */
  readonly address: string;
  readonly credentials?: ChannelCredentials | undefined;
}

/** Opens a side's stream to an entry. */
export function dialAsSide(
  target: Target,
  listener: StreamListener<EntryFrame>,
): Stream<SideFrame> {
  return dial(target, listener, LINK_SERVICE.side);
}

/** Opens an entry's stream to another entry. */
export function dialAsPeer(
  target: Target,
  listener: StreamListener<PeerFrame>,
): Stream<PeerFrame> {
  return dial(target, listener, LINK_SERVICE.peer);
}

function dial<In, Out>(
  target: Target,
  listener: StreamListener<In>,
  method: typeof LINK_SERVICE.side,
): Stream<Out> {
  const channelCredentials = target.credentials ?? credentials.createInsecure();
  const client = new Client(
    target.address,
    channelCredentials,
    CHANNEL_OPTIONS,
  );
  const call = client.makeBidiStreamRequest(
    method.path,
    method.requestSerialize,
    method.responseDeserialize,
  );
  const wrapped = wrapCall<Out>(call, () => {
    call.cancel();
    client.close();
  });
  // Reports nothing before the caller holds the stream.
  queueMicrotask(() => wrapped.listen(listener));
  return wrapped.stream;
}
