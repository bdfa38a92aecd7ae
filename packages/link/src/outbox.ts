/**
 * A queue of outgoing messages. It keeps the messages of each sent frame until
 * the receiver acknowledges the frame, so they can be resent on a new stream.
 */
export interface Outbox<Message> {
  push(message: Message): void;
  /** True if there are messages to send. */
  hasPending(): boolean;
  /** Dequeues all pending messages, to be sent in frame `sequence`. */
  takePending(sequence: number): readonly Message[];
  /** Drops the messages of all frames up to and including `sequence`. */
  acknowledge(sequence: number): void;
  /** Requeues all unacknowledged messages before the pending ones, in order. */
  requeueUnacknowledged(): void;
  isEmpty(): boolean;
}

interface SentFrame<Message> {
  readonly sequence: number;
  readonly messages: readonly Message[];
}

export function createOutbox<Message>(): Outbox<Message> {
  let pending: Message[] = [];
  let unacknowledged: SentFrame<Message>[] = [];
  return {
    push(message) {
      pending.push(message);
    },
    hasPending: () => pending.length > 0,
    takePending(sequence) {
      const messages = pending;
      pending = [];
      if (messages.length > 0) unacknowledged.push({ sequence, messages });
      return messages;
    },
    acknowledge(sequence) {
      let acknowledgedCount = 0;
      while (
        acknowledgedCount < unacknowledged.length &&
        unacknowledged[acknowledgedCount]!.sequence <= sequence
      ) acknowledgedCount += 1;
      if (acknowledgedCount > 0) {
        unacknowledged = unacknowledged.slice(acknowledgedCount);
      }
    },
    requeueUnacknowledged() {
      pending = [
        ...unacknowledged.flatMap((frame) => frame.messages),
        ...pending,
      ];
      unacknowledged = [];
    },
    isEmpty: () => pending.length === 0 && unacknowledged.length === 0,
  };
}
