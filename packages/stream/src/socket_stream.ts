/** Implements `Stream` over a TCP connection. */
import type { Socket } from "node:net";
import { Packr, UnpackrStream } from "msgpackr";
import type { FrameGuard, Stream, StreamListener } from "./stream.ts";

/** Maximum size of an incomplete frame that is buffered. */
const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** Time to flush pending writes after closing, before the socket is destroyed. */
const FLUSH_TIMEOUT_MS = 1000;

/** Received bytes that are not a valid frame. */
export class InvalidFrame extends Error {
  constructor(reason: string) {
    super(`invalid frame: ${reason}`);
    this.name = "InvalidFrame";
  }
}

export interface SocketStream<In, Out> {
  readonly stream: Stream<Out>;
  /** Sets the listener that receives the stream's events. */
  listen(listener: StreamListener<In>): void;
}

export function createSocketStream<In, Out>(
  socket: Socket,
  isFrame: FrameGuard<In>,
): SocketStream<In, Out> {
  // Each record structure is sent only once per connection.
  const packr = new Packr({ sequential: true });
  const unpackr = new UnpackrStream({
    maxIncompleteBufferSize: MAX_FRAME_BYTES,
  });
  let listener: StreamListener<In> | undefined;
  let isClosed = false;
  let isSaturated = false;

  function closeStream(error?: Error): void {
    if (isClosed) return;
    isClosed = true;
    if (error === undefined) socket.end();
    else socket.destroy();
    setTimeout(() => socket.destroy(), FLUSH_TIMEOUT_MS).unref();
    listener?.closed(error);
  }

  function handleFrame(frame: unknown): void {
    if (isClosed) return;
    if (!isFrame(frame)) {
      return closeStream(
        new InvalidFrame("value does not match the frame type"),
      );
    }
    try {
      listener?.received(frame);
    } catch (error) {
      // A frame that can't be handled closes only the connection it came from.
      closeStream(error instanceof Error ? error : new Error(String(error)));
    }
  }

  socket.on("data", (bytes) => {
    if (!isClosed) unpackr.write(bytes);
  });
  unpackr.on("data", handleFrame);
  unpackr.on("error", (error) => closeStream(new InvalidFrame(error.message)));
  socket.on("drain", () => {
    isSaturated = false;
    if (!isClosed) listener?.drained();
  });
  // A "close" event follows the error and closes the stream.
  socket.on("error", () => {});
  socket.on("end", () => closeStream());
  socket.on("close", () => closeStream());

  return {
    stream: {
      send(frame) {
        if (!isClosed) isSaturated = !socket.write(packr.pack(frame));
      },
      isSaturated: () => isSaturated,
      close: () => closeStream(),
    },
    listen(newListener) {
      listener = newListener;
      if (isClosed) newListener.closed();
    },
  };
}
