/**
 * A stream between two simulated processes: messages arrive in order after a
 * delay, wait while the way is cut or the receiver is frozen, and are lost when
 * the stream ends.
 */
import type { SimulatedClock } from "./clock.ts";

export interface Way {
  isCut: boolean;
}

export interface Wire<Message> {
  send(message: Message): void;
  /** Messages on the way are lost; later ones are dropped. */
  cutOff(): void;
}

export interface WireOptions<Message> {
  readonly clock: SimulatedClock;
  readonly way: Way;
  delayMs(): number;
  /** False while the receiver is frozen. */
  canReceive(): boolean;
  received(message: Message): void;
}

const RETRY_MS = 5;

export function createWire<Message>(
  options: WireOptions<Message>,
): Wire<Message> {
  const { clock, way } = options;
  let waiting: Message[] = [];
  let isOver = false;
  let isPumping = false;

  function pump(): void {
    isPumping = false;
    if (isOver) return;
    if (way.isCut || !options.canReceive()) return schedule(RETRY_MS);
    const arrived = waiting;
    waiting = [];
    for (const message of arrived) if (!isOver) options.received(message);
  }

  function schedule(delayMs: number): void {
    if (isPumping) return;
    isPumping = true;
    clock.after(delayMs, pump);
  }

  return {
    send(message) {
      if (isOver) return;
      waiting.push(message);
      schedule(options.delayMs());
    },
    cutOff() {
      isOver = true;
    },
  };
}
