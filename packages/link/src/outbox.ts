/**
 * Messages that wait for the next frame, and those in frames that the other
 * end has not acknowledged. A new stream repeats the latter.
 */
export interface Outbox<Message> {
  push(message: Message): void;
  /** True when there is something to send. */
  isDue(): boolean;
  /** Takes what is due into a frame with this sequence number. */
  take(sequence: number): readonly Message[];
  /** The other end has taken in all frames up to this one. */
  acknowledge(sequence: number): void;
  /** Makes everything unacknowledged due again, in order. */
  repeat(): void;
  isEmpty(): boolean;
}

interface Sent<Message> {
  readonly sequence: number;
  readonly messages: readonly Message[];
}

export function createOutbox<Message>(): Outbox<Message> {
  let due: Message[] = [];
  let sent: Sent<Message>[] = [];
  return {
    push(message) {
      due.push(message);
    },
    isDue: () => due.length > 0,
    take(sequence) {
      const messages = due;
      due = [];
      if (messages.length > 0) sent.push({ sequence, messages });
      return messages;
    },
    acknowledge(sequence) {
      let done = 0;
      while (done < sent.length && sent[done]!.sequence <= sequence) done += 1;
      if (done > 0) sent = sent.slice(done);
    },
    repeat() {
      due = [...sent.flatMap((frame) => frame.messages), ...due];
      sent = [];
    },
    isEmpty: () => due.length === 0 && sent.length === 0,
  };
}
