/** Opens outgoing streams to other processes. */
import { connect } from "node:net";
import { createSocketStream } from "./socket_stream.ts";
import type { FrameGuard, Stream, StreamListener } from "./stream.ts";

export interface DialOptions<In> {
  /** As `IP:port`. */
  readonly address: string;
  readonly isFrame: FrameGuard<In>;
}

/** Frames sent before the connection is established are buffered. */
export function dialStream<In, Out>(
  options: DialOptions<In>,
  listener: StreamListener<In>,
): Stream<Out> {
  const [host, port] = options.address.split(":");
  const socket = connect({ host: host!, port: Number(port), noDelay: true });
  const { stream, listen } = createSocketStream<In, Out>(
    socket,
    options.isFrame,
  );
  listen(listener);
  return stream;
}
