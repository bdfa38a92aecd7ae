/** Events in the order of a simulated time. */

export interface SimulatedClock {
  now(): number;
  /** Runs `event` after a delay in milliseconds. */
  after(delayMs: number, event: () => void): void;
  /** Runs events until the given time. */
  runUntil(time: number): void;
}

interface Scheduled {
  readonly at: number;
  readonly order: number;
  readonly event: () => void;
}

export function createClock(): SimulatedClock {
  const heap: Scheduled[] = [];
  let now = 0;
  let order = 0;

  function isBefore(left: Scheduled, right: Scheduled): boolean {
    return left.at < right.at ||
      (left.at === right.at && left.order < right.order);
  }

  function push(item: Scheduled): void {
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

  function pop(): Scheduled {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length > 0) sink(last);
    return first;
  }

  function sink(item: Scheduled): void {
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
      order += 1;
      push({ at: now + Math.max(0, delayMs), order, event });
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
