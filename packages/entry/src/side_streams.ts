/**
 * An entry's streams to sides: batches messages into frames, sends a frame when
 * a stream has been idle, and ends streams that have gone silent.
 */
import type { Stream, StreamListener } from "@coltsfootreach/link";
import type {
  EntryFrame,
  EntryMessage,
  SideFrame,
} from "@coltsfootreach/types";

export interface SideStreamsOptions {
  readonly heartbeatMs: number;
  readonly silentMs: number;
  /** Everything of a frame but its messages and what the stream knows. */
  header(
    incarnation: string,
  ): Omit<EntryFrame, "messages" | "sequence" | "ack">;
  received(frame: SideFrame): void;
  /** The stream of this run of a side is over. */
  closed(incarnation: string): void;
}

export interface SideStreams {
  /** Takes in a stream that a side has opened. */
  accept(stream: Stream<EntryFrame>): StreamListener<SideFrame>;
  push(incarnation: string, message: EntryMessage, lazy: boolean): void;
  flush(): void;
  close(): void;
  /** Frames and messages since the start. */
  counts(): FrameCounts;
}

export interface FrameCounts {
  readonly sent: number;
  readonly received: number;
  /** Sent frames that carried no start. */
  readonly sentWithoutStart: number;
  /** Sent frames that carried no message at all. */
  readonly sentEmpty: number;
  /** Received frames that carried no result. */
  readonly receivedWithoutResult: number;
  /** Received frames that carried no message at all. */
  readonly receivedEmpty: number;
}

interface SideStream {
  readonly incarnation: string;
  readonly stream: Stream<EntryFrame>;
  due: EntryMessage[];
  isDue: boolean;
  ack: number;
  sentAtMs: number;
  heardAtMs: number;
}

export function createSideStreams(options: SideStreamsOptions): SideStreams {
  const streams = new Map<string, SideStream>();
  /** Rises over all streams, so a side can drop frames that come late. */
  let sequence = 0;
  const counts = {
    sent: 0,
    received: 0,
    sentWithoutStart: 0,
    sentEmpty: 0,
    receivedWithoutResult: 0,
    receivedEmpty: 0,
  };

  function open(
    incarnation: string,
    stream: Stream<EntryFrame>,
  ): SideStream {
    const earlier = streams.get(incarnation);
    if (earlier !== undefined) {
      streams.delete(incarnation);
      earlier.stream.close();
      options.closed(incarnation);
    }
    const nowMs = performance.now();
    const own: SideStream = {
      incarnation,
      stream,
      due: [],
      isDue: false,
      ack: 0,
      sentAtMs: 0,
      heardAtMs: nowMs,
    };
    streams.set(incarnation, own);
    return own;
  }

  function close(own: SideStream): void {
    own.stream.close();
    if (streams.get(own.incarnation) !== own) return;
    streams.delete(own.incarnation);
    options.closed(own.incarnation);
  }

  function take(own: SideStream, frame: SideFrame): void {
    own.heardAtMs = performance.now();
    own.ack = frame.sequence;
    counts.received += 1;
    const hasResult = frame.messages.some((one) => one.kind === "result");
    if (!hasResult) counts.receivedWithoutResult += 1;
    if (frame.messages.length === 0) counts.receivedEmpty += 1;
    options.received(frame);
    const idleMs = own.heardAtMs - own.sentAtMs;
    const isHeartbeat = frame.messages.length === 0;
    if (isHeartbeat && idleMs >= options.heartbeatMs / 2) send(own);
  }

  function send(own: SideStream): void {
    const messages = own.due;
    own.due = [];
    own.isDue = false;
    own.sentAtMs = performance.now();
    sequence += 1;
    counts.sent += 1;
    const hasStart = messages.some((one) => one.kind === "start");
    if (!hasStart) counts.sentWithoutStart += 1;
    if (messages.length === 0) counts.sentEmpty += 1;
    const { ack, incarnation } = own;
    own.stream.send({
      ...options.header(incarnation),
      sequence,
      ack,
      messages,
    });
  }

  function flushOne(own: SideStream): void {
    if (own.isDue && !own.stream.isSaturated()) send(own);
  }

  const timer = setInterval(() => {
    const nowMs = performance.now();
    for (const own of [...streams.values()]) {
      if (nowMs - own.heardAtMs > options.silentMs) close(own);
      else if (nowMs - own.sentAtMs >= options.heartbeatMs) send(own);
    }
  }, options.heartbeatMs / 4);

  return {
    accept(stream) {
      let own: SideStream | undefined;
      return {
        received(frame) {
          own ??= open(frame.incarnation, stream);
          take(own, frame);
        },
        drained() {
          if (own !== undefined) flushOne(own);
        },
        closed() {
          if (own !== undefined) close(own);
        },
      };
    },
    push(incarnation, message, lazy) {
      const own = streams.get(incarnation);
      if (own === undefined) return;
      own.due.push(message);
      if (!lazy) own.isDue = true;
    },
    flush() {
      for (const own of streams.values()) flushOne(own);
    },
    close() {
      clearInterval(timer);
      for (const own of [...streams.values()]) close(own);
    },
    counts: () => ({ ...counts }),
  };
}
