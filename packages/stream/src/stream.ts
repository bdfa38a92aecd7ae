/**
 * A stream of frames to another process. It carries frames in order while it
 * lives and says when it is over; nothing is repeated by itself.
 */

export interface Stream<Out> {
  /** Writes a frame; frames written after the end are dropped. */
  send(frame: Out): void;
  /** True while the transport holds as much as it should. */
  isSaturated(): boolean;
  close(): void;
}

export interface StreamListener<In> {
  received(frame: In): void;
  /** The transport takes frames again. */
  drained(): void;
  /**
   * Called once, however the stream ended; with the error when what came could
   * not be decoded or handled.
   */
  closed(fault?: Error): void;
}

/** Told of each stream that another process opens. */
export type Accept<In, Out> = (stream: Stream<Out>) => StreamListener<In>;

/** Tells frames from other values. */
export type FrameCheck<Frame> = (value: unknown) => value is Frame;
