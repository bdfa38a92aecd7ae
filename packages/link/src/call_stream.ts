/** Implements `Stream` over the client or server end of a gRPC call. */
import type { ClientDuplexStream, ServerDuplexStream } from "@grpc/grpc-js";
import type { Stream, StreamListener } from "@coltsfootreach/stream";

type Call =
  | ClientDuplexStream<unknown, unknown>
  | ServerDuplexStream<unknown, unknown>;

export interface CallStream<Out> {
  readonly stream: Stream<Out>;
  /** Sets the listener that receives the stream's events. */
  listen(listener: StreamListener<never>): void;
}

/** `endCall` ends the call locally and releases its resources. */
export function createCallStream<Out>(
  call: Call,
  endCall: () => void,
): CallStream<Out> {
  let isClosed = false;
  let isSaturated = false;
  let listener: StreamListener<unknown> | undefined;

  function closeStream(): void {
    if (isClosed) return;
    isClosed = true;
    endCall();
    listener?.closed();
  }

  call.on("data", (frame: unknown) => {
    if (!isClosed) listener?.received(frame);
  });
  call.on("drain", () => {
    isSaturated = false;
    if (!isClosed) listener?.drained();
  });
  call.on("error", closeStream);
  call.on("end", closeStream);
  call.on("close", closeStream);

  return {
    stream: {
      send(frame) {
        if (!isClosed) isSaturated = !call.write(frame);
      },
      isSaturated: () => isSaturated,
      close: closeStream,
    },
    listen(newListener) {
      listener = newListener as StreamListener<unknown>;
      if (isClosed) newListener.closed();
    },
  };
}
