/** A binary min-heap over numeric ranks. Equal ranks keep their order. */

export interface Heap<T> {
  push(rank: number, item: T): void;
  /** The item of lowest rank, left in place. */
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

  function rise(start: number): void {
    const node = nodes[start]!;
    let at = start;
    while (at > 0) {
      const above = (at - 1) >> 1;
      if (!isBefore(node, nodes[above]!)) break;
      nodes[at] = nodes[above]!;
      at = above;
    }
    nodes[at] = node;
  }

  function lowerChild(at: number): number {
    const left = 2 * at + 1;
    const right = left + 1;
    if (right >= nodes.length) return left;
    return isBefore(nodes[right]!, nodes[left]!) ? right : left;
  }

  function sink(start: number): void {
    const node = nodes[start]!;
    let at = start;
    while (2 * at + 1 < nodes.length) {
      const child = lowerChild(at);
      if (!isBefore(nodes[child]!, node)) break;
      nodes[at] = nodes[child]!;
      at = child;
    }
    nodes[at] = node;
  }

  return {
    push(rank, item) {
      nodes.push({ rank, sequence: sequence++, item });
      rise(nodes.length - 1);
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
        sink(0);
      }
      return top.item;
    },
    size() {
      return nodes.length;
    },
  };
}
