/** Opens streams to entries, each over its own connection. */
import { Client, credentials } from "@grpc/grpc-js";
import type { ChannelCredentials } from "@grpc/grpc-js";
import type { EntryFrame, PeerFrame, SideFrame } from "@coltsfootreach/types";
import { CHANNEL_OPTIONS, LINK_SERVICE } from "./service.ts";
import type { Stream, StreamListener } from "@coltsfootreach/stream";
import { createCallStream } from "./call_stream.ts";

export interface LinkTarget {
  /** Address at which the entry accepts links, as `IP:port`. */
  readonly address: string;
  readonly credentials?: ChannelCredentials | undefined;
}

/** Opens a stream from a side to an entry. */
export function dialAsSide(
  target: LinkTarget,
  listener: StreamListener<EntryFrame>,
): Stream<SideFrame> {
  return dial(target, listener, LINK_SERVICE.side);
}

/** Opens a stream from an entry to another entry. */
export function dialAsPeer(
  target: LinkTarget,
  listener: StreamListener<PeerFrame>,
): Stream<PeerFrame> {
  return dial(target, listener, LINK_SERVICE.peer);
}

function dial<In, Out>(
  target: LinkTarget,
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
  const callStream = createCallStream<Out>(call, () => {
    call.cancel();
    client.close();
  });
  // No event is reported before the caller has received the stream.
  queueMicrotask(() => callStream.listen(listener));
  return callStream.stream;
}
