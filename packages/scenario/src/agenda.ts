/**
 * Simulated time: what is scheduled runs in order of its time, and in order of
 * scheduling at the same time. Everything runs synchronously.
 */
export type Cancel = () => void;

export interface Agenda {
  nowMs(): number;
  schedule(delayMs: number, run: () => void): Cancel;
  /** Runs everything that falls due in the next `ms` milliseconds. */
  advance(ms: number): void;
}

interface Entry {
  readonly atMs: number;
  readonly order: number;
  run: (() => void) | undefined;
}

export function createAgenda(): Agenda {
  const heap: Entry[] = [];
  let timeMs = 0;
  let order = 0;

  function push(entry: Entry): void {
    let at = heap.push(entry) - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!precedes(entry, heap[parent]!)) break;
      heap[at] = heap[parent]!;
      at = parent;
    }
    heap[at] = entry;
  }

  function pop(): Entry {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= heap.length) break;
      const right = heap[child + 1];
      if (right !== undefined && precedes(right, heap[child]!)) child += 1;
      if (!precedes(heap[child]!, last)) break;
      heap[at] = heap[child]!;
      at = child;
    }
    heap[at] = last;
    return first;
  }

  return {
    nowMs: () => timeMs,
    schedule(delayMs, run) {
      const entry: Entry = { atMs: timeMs + delayMs, order: order++, run };
      push(entry);
      return () => {
        entry.run = undefined;
      };
    },
    advance(ms) {
      const untilMs = timeMs + ms;
      while (heap.length > 0 && heap[0]!.atMs <= untilMs) {
        const due = pop();
        timeMs = due.atMs;
        due.run?.();
      }
      timeMs = untilMs;
    },
  };
}

function precedes(left: Entry, right: Entry): boolean {
  if (left.atMs !== right.atMs) return left.atMs < right.atMs;
  return left.order < right.order;
}
