/**
 * One direction of a stream between two simulated processes. Messages arrive in
 * order after a delay, wait while the path is partitioned or the receiver is
 * frozen, and are lost when the channel is closed.
 */
import type { SimulatedClock } from "./clock.ts";

export interface NetworkPath {
  isPartitioned: boolean;
}

export interface Channel<Message> {
  send(message: Message): void;
  /** Drops messages in transit and all later ones. */
  close(): void;
}

export interface ChannelOptions<Message> {
  readonly clock: SimulatedClock;
  readonly path: NetworkPath;
  delayMs(): number;
  /** Returns false while the receiver is down or frozen. */
  canReceive(): boolean;
  received(message: Message): void;
}

const RETRY_INTERVAL_MS = 5;

export function createChannel<Message>(
  options: ChannelOptions<Message>,
): Channel<Message> {
  const { clock, path } = options;
  let pending: Message[] = [];
  let isClosed = false;
  let isScheduled = false;

  function deliver(): void {
    isScheduled = false;
    if (isClosed) return;
    if (path.isPartitioned || !options.canReceive()) {
      return schedule(RETRY_INTERVAL_MS);
    }
    const messages = pending;
    pending = [];
    for (const message of messages) if (!isClosed) options.received(message);
  }

  function schedule(delayMs: number): void {
    if (isScheduled) return;
    isScheduled = true;
    clock.after(delayMs, deliver);
  }

  return {
    send(message) {
      if (isClosed) return;
      pending.push(message);
      schedule(options.delayMs());
    },
    close() {
      isClosed = true;
    },
  };
}
