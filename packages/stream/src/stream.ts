/**
 * A stream of frames to another process. It delivers frames in order while it is
 * open and reports when it has closed; it never retransmits frames.
 */

export interface Stream<Out> {
  /** Writes a frame; frames written after the stream closed are dropped. */
  send(frame: Out): void;
  /** True while the transport's write buffer is full. */
  isSaturated(): boolean;
  close(): void;
}

export interface StreamListener<In> {
  received(frame: In): void;
  /** The transport's write buffer has drained and accepts frames again. */
  drained(): void;
  /**
   * Called exactly once when the stream closes, for whatever reason; has the
   * error if a received frame could not be decoded or handled.
   */
  closed(error?: Error): void;
}

/** Called for each incoming stream; returns the listener for its events. */
export type StreamHandler<In, Out> = (
  stream: Stream<Out>,
) => StreamListener<In>;

/** Type guard for received values. */
export type FrameGuard<Frame> = (value: unknown) => value is Frame;
