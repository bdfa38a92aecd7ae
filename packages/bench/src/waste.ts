/**
 * Messages that carried neither a first start nor the first delivery of an
 * answer, by kind, from the entries' counters. Frames count as one.
 */
import type { Counters } from "@coltsfootreach/fleet";

export type WasteKind =
  | "entryToSide"
  | "sideToEntry"
  | "entryToEntry"
  | "store";

export interface Waste {
  readonly total: number;
  readonly byKind: Readonly<Record<WasteKind, number>>;
  /** Frames that carried no message at all, of those above. */
  readonly heartbeats: number;
}

/** Messages to and from the store all count, since none carries a task. */
const STORE_PREFIX = "store.";

export function wasteOf(counters: Counters, tasks: number): Waste {
  const read = (name: string) => (counters[name] ?? 0) / tasks;
  const store = Object.entries(counters)
    .filter(([name]) => name.startsWith(STORE_PREFIX))
    .reduce((sum, [, calls]) => sum + calls / tasks, 0);
  const byKind = {
    entryToSide: read("sides.sentWithoutStart"),
    sideToEntry: read("sides.receivedWithoutResult"),
    entryToEntry: read("peers.sentWithoutReply"),
    store,
  };
  const { entryToSide, sideToEntry, entryToEntry } = byKind;
  return {
    total: entryToSide + sideToEntry + entryToEntry + store,
    byKind,
    heartbeats: read("sides.sentEmpty") + read("sides.receivedEmpty") +
      read("peers.sentEmpty"),
  };
}
