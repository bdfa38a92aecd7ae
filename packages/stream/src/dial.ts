/** Opens streams to other processes. */
import { connect } from "node:net";
import { streamOver } from "./socket_stream.ts";
import type { FrameCheck, Stream, StreamListener } from "./stream.ts";

export interface DialOptions<In> {
  /** As `IP:port`. */
  readonly address: string;
  readonly isFrame: FrameCheck<In>;
}

/** Frames that are sent before the connection stands wait for it. */
export function dialStream<In, Out>(
  options: DialOptions<In>,
  listener: StreamListener<In>,
): Stream<Out> {
  const [host, port] = options.address.split(":");
  const socket = connect({ host: host!, port: Number(port), noDelay: true });
  const { stream, listen } = streamOver<In, Out>(socket, options.isFrame);
  listen(listener);
  return stream;
}
