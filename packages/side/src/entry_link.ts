/**
 * A side's link to one entry: one stream at a time, replaced when it ends or
 * goes silent. What the entry has not acknowledged is sent again on the next
 * stream.
 */
import {
  createOutbox,
  dialAsSide,
  type LinkTarget,
  type Stream,
} from "@coltsfootreach/link";
import type { EntryFrame, SideFrame, SideMessage } from "@coltsfootreach/types";

/** Pause before a stream that ended is opened again. */
const REDIAL_MS = 100;

export interface EntryLinkOptions {
  readonly target: LinkTarget;
  readonly heartbeatMs: number;
  /** Silence after which the stream is replaced. */
  readonly silentMs: number;
  hello(): SideMessage;
  /** Everything of a frame but its messages and number. */
  header(entry: string | undefined): Omit<SideFrame, "messages" | "sequence">;
  received(frame: EntryFrame): void;
}

export interface EntryLink {
  push(message: SideMessage): void;
  /** The next frame says hello again. */
  sayHello(): void;
  /** Sends a frame if something is due. */
  flush(): void;
  /** Which run of an entry answers at this address, once it has spoken. */
  entry(): string | undefined;
  isSettled(): boolean;
  close(): void;
}

export function openEntryLink(options: EntryLinkOptions): EntryLink {
  const outbox = createOutbox<SideMessage>();
  let stream: Stream<SideFrame> | undefined;
  let entry: string | undefined;
  let sequence = 0;
  let sentAtMs = 0;
  let heardAtMs = 0;
  let isClosed = false;
  let isHelloDue = false;
  let redial: NodeJS.Timeout | undefined;

  function open(): void {
    if (isClosed) return;
    heardAtMs = performance.now();
    const own: Stream<SideFrame> = dialAsSide(options.target, {
      received(frame) {
        if (stream === own) take(frame);
      },
      drained: flush,
      closed() {
        if (stream === own) replace();
      },
    });
    stream = own;
    outbox.requeueUnacknowledged();
    isHelloDue = true;
    send();
  }

  function replace(): void {
    const old = stream;
    stream = undefined;
    old?.close();
    if (!isClosed) redial = setTimeout(open, REDIAL_MS);
  }

  function take(frame: EntryFrame): void {
    heardAtMs = performance.now();
    entry = frame.entry;
    outbox.acknowledge(frame.ack);
    options.received(frame);
  }

  function send(): void {
    if (stream === undefined) return;
    sequence += 1;
    const hello = isHelloDue ? [options.hello()] : [];
    isHelloDue = false;
    sentAtMs = performance.now();
    const messages = [...hello, ...outbox.takePending(sequence)];
    stream.send({ ...options.header(entry), sequence, messages });
  }

  function flush(): void {
    const isBlocked = stream === undefined || stream.isSaturated();
    if (isBlocked) return;
    if (isHelloDue || outbox.hasPending()) send();
  }

  const timer = setInterval(() => {
    const nowMs = performance.now();
    if (stream === undefined) return;
    if (nowMs - heardAtMs > options.silentMs) replace();
    else if (nowMs - sentAtMs >= options.heartbeatMs) send();
  }, options.heartbeatMs / 4);

  open();
  return {
    push: (message) => outbox.push(message),
    sayHello() {
      isHelloDue = true;
    },
    flush,
    entry: () => entry,
    isSettled: () => outbox.isEmpty(),
    close() {
      isClosed = true;
      clearInterval(timer);
      clearTimeout(redial);
      const old = stream;
      stream = undefined;
      old?.close();
    },
  };
}
