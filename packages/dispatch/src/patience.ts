/**
 * Tells callers that come back from those that come for the first time. A
 * caller whose connection broke hands its job in again with what is left of its
 * time, so less of it than its queue's callers usually have means that it has
 * waited already. Answers the load after an outage, when all callers come back
 * at once and most of them are too late to be helped.
 */

/** Time limits that are kept for each queue. */
const KEPT = 64;

/** Fewer say too little about a queue. */
const LEAST_KEPT = 12;

/** Part of the callers that may have less time than the usual least. */
const LOW_SHARE = 0.1;

/** Only callers with less than this part of the usual least count as older. */
const MARGIN = 0.9;

/** Most queues that are kept apart. */
const MAX_QUEUES = 500;

/** Least time that a queue's callers usually have left, in milliseconds. */
export type PatienceTable = Readonly<Record<string, number>>;

export interface Patience {
  /** Takes note of a caller that has come in calm times. */
  learn(queue: string, timeoutMs: number): void;
  /** How long a caller has waited already, at least. */
  ageMs(queue: string, timeoutMs: number): number;
  /** What is known by now, of others' knowledge too. */
  table(): PatienceTable;
  /** Takes over what others know; what was learnt here goes before it. */
  adopt(table: PatienceTable): void;
}

export function createPatience(): Patience {
  const learnt = new Map<string, number[]>();
  let adopted: PatienceTable = {};

  function usualLeastMs(queue: string): number | undefined {
    const kept = learnt.get(queue);
    if (kept === undefined || kept.length < LEAST_KEPT) return adopted[queue];
    const sorted = [...kept].sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length * LOW_SHARE)];
  }

  return {
    learn(queue, timeoutMs) {
      const kept = learnt.get(queue) ?? [];
      if (kept.length === 0) {
        if (learnt.size >= MAX_QUEUES) return;
        learnt.set(queue, kept);
      }
      kept.push(timeoutMs);
      if (kept.length > KEPT) kept.shift();
    },
    ageMs(queue, timeoutMs) {
      const leastMs = usualLeastMs(queue);
      if (leastMs === undefined) return 0;
      return Math.max(0, leastMs * MARGIN - timeoutMs);
    },
    table() {
      const table: Record<string, number> = { ...adopted };
      for (const queue of learnt.keys()) {
        const leastMs = usualLeastMs(queue);
        if (leastMs !== undefined) table[queue] = leastMs;
      }
      return table;
    },
    adopt(table) {
      adopted = table;
    },
  };
}
