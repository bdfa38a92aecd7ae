/** Makes a `Stream` of a TCP connection. */
import type { Socket } from "node:net";
import { Packr, UnpackrStream } from "msgpackr";
import type { FrameCheck, Stream, StreamListener } from "./stream.ts";

/** Largest frame that is waited for. */
const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** What was written before the end has this long to leave. */
const FLUSH_MS = 1000;

/** Bytes that hold no frame. */
export class InvalidFrame extends Error {
  constructor(reason: string) {
    super(`invalid frame: ${reason}`);
    this.name = "InvalidFrame";
  }
}

export interface SocketStream<In, Out> {
  readonly stream: Stream<Out>;
  /** Starts to report to the listener. */
  listen(listener: StreamListener<In>): void;
}

export function streamOver<In, Out>(
  socket: Socket,
  isFrame: FrameCheck<In>,
): SocketStream<In, Out> {
  // Each record layout is written once for a connection.
  const packr = new Packr({ sequential: true });
  const unpackr = new UnpackrStream({
    maxIncompleteBufferSize: MAX_FRAME_BYTES,
  });
  let listener: StreamListener<In> | undefined;
  let isOver = false;
  let isSaturated = false;

  function end(fault?: Error): void {
    if (isOver) return;
    isOver = true;
    if (fault === undefined) socket.end();
    else socket.destroy();
    setTimeout(() => socket.destroy(), FLUSH_MS).unref();
    listener?.closed(fault);
  }

  function take(frame: unknown): void {
    if (isOver) return;
    if (!isFrame(frame)) return end(new InvalidFrame("wrong shape"));
    try {
      listener?.received(frame);
    } catch (error) {
      // A frame that can't be handled costs its sender the connection only.
      end(error instanceof Error ? error : new Error(String(error)));
    }
  }

  socket.on("data", (bytes) => {
    if (!isOver) unpackr.write(bytes);
  });
  unpackr.on("data", take);
  unpackr.on("error", (error) => end(new InvalidFrame(error.message)));
  socket.on("drain", () => {
    isSaturated = false;
    if (!isOver) listener?.drained();
  });
  // The end of a connection that broke follows as "close".
  socket.on("error", () => {});
  socket.on("end", () => end());
  socket.on("close", () => end());

  return {
    stream: {
      send(frame) {
        if (!isOver) isSaturated = !socket.write(packr.pack(frame));
      },
      isSaturated: () => isSaturated,
      close: () => end(),
    },
    listen(next) {
      listener = next;
      if (isOver) next.closed();
    },
  };
}
