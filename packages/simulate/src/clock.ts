/** Discrete event queue with a simulated clock. */

export interface SimulatedClock {
  now(): number;
  /** Schedules `event` after a delay in milliseconds. */
  after(delayMs: number, event: () => void): void;
  /** Runs all events due by the given time and advances the clock to it. */
  runUntil(time: number): void;
}

interface ScheduledEvent {
  readonly at: number;
  readonly sequence: number;
  readonly event: () => void;
}

export function createClock(): SimulatedClock {
  const heap: ScheduledEvent[] = [];
  let now = 0;
  let sequence = 0;

  function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
    return left.at < right.at ||
      (left.at === right.at && left.sequence < right.sequence);
  }

  function push(item: ScheduledEvent): void {
    heap.push(item);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(heap[parent]!, item)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = item;
  }

  function pop(): ScheduledEvent {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length > 0) siftDown(last);
    return first;
  }

  function siftDown(item: ScheduledEvent): void {
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (isBefore(item, heap[child]!)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = item;
  }

  return {
    now: () => now,
    after(delayMs, event) {
      sequence += 1;
      push({ at: now + Math.max(0, delayMs), sequence, event });
    },
    runUntil(time) {
      while (heap.length > 0 && heap[0]!.at <= time) {
        const next = pop();
        now = next.at;
        next.event();
      }
      now = time;
    },
  };
}
