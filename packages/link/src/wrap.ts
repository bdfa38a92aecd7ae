/** Makes a `Stream` of either end of a gRPC call. */
import type { ClientDuplexStream, ServerDuplexStream } from "@grpc/grpc-js";
import type { Stream, StreamListener } from "@coltsfootreach/stream";

type Call =
  | ClientDuplexStream<unknown, unknown>
  | ServerDuplexStream<unknown, unknown>;

export interface Wrapped<Out> {
  readonly stream: Stream<Out>;
  /** Starts to report to the listener. */
  listen(listener: StreamListener<never>): void;
}

/** `shut` ends the call at this end and frees what belongs to it. */
export function wrapCall<Out>(call: Call, shut: () => void): Wrapped<Out> {
  let isOver = false;
  let isSaturated = false;
  let listener: StreamListener<unknown> | undefined;

  function finish(): void {
    if (isOver) return;
    isOver = true;
    shut();
    listener?.closed();
  }

  call.on("data", (frame: unknown) => {
    if (!isOver) listener?.received(frame);
  });
  call.on("drain", () => {
    isSaturated = false;
    if (!isOver) listener?.drained();
  });
  call.on("error", finish);
  call.on("end", finish);
  call.on("close", finish);

  return {
    stream: {
      send(frame) {
        if (!isOver) isSaturated = !call.write(frame);
      },
      isSaturated: () => isSaturated,
      close: finish,
    },
    listen(next) {
      listener = next as StreamListener<unknown>;
      if (isOver) next.closed();
    },
  };
}
