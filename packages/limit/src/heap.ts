/** A binary min-heap ordered by numeric rank and then by insertion order. */

export interface Heap<T> {
  push(rank: number, item: T): void;
  /** Returns the item of lowest rank without removing it. */
  peek(): T | undefined;
  /** The lowest rank; infinite when the heap is empty. */
  lowestRank(): number;
  /** Removes and returns the item of lowest rank. */
  pop(): T | undefined;
  size(): number;
}

interface Node<T> {
  readonly rank: number;
  readonly sequence: number;
  readonly item: T;
}

function isBefore(a: Node<unknown>, b: Node<unknown>): boolean {
  return a.rank < b.rank || (a.rank === b.rank && a.sequence < b.sequence);
}

export function createHeap<T>(): Heap<T> {
  const nodes: Node<T>[] = [];
  let sequence = 0;

  function siftUp(start: number): void {
    const node = nodes[start]!;
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(node, nodes[parent]!)) break;
      nodes[index] = nodes[parent]!;
      index = parent;
    }
    nodes[index] = node;
  }

  function smallerChild(index: number): number {
    const left = 2 * index + 1;
    const right = left + 1;
    if (right >= nodes.length) return left;
    return isBefore(nodes[right]!, nodes[left]!) ? right : left;
  }

  function siftDown(start: number): void {
    const node = nodes[start]!;
    let index = start;
    while (2 * index + 1 < nodes.length) {
      const child = smallerChild(index);
      if (!isBefore(nodes[child]!, node)) break;
      nodes[index] = nodes[child]!;
      index = child;
    }
    nodes[index] = node;
  }

  return {
    push(rank, item) {
      nodes.push({ rank, sequence: sequence++, item });
      siftUp(nodes.length - 1);
    },
    peek() {
      return nodes[0]?.item;
    },
    lowestRank() {
      return nodes[0]?.rank ?? Infinity;
    },
    pop() {
      const top = nodes[0];
      const last = nodes.pop();
      if (top === undefined || last === undefined) return undefined;
      if (nodes.length > 0) {
        nodes[0] = last;
        siftDown(0);
      }
      return top.item;
    },
    size() {
      return nodes.length;
    },
  };
}
