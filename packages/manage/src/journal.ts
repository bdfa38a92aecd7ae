/**
 * Keeps records of what an entry did by itself. The oldest are dropped beyond
 * a bound.
 */
import type { AutomaticAction, Measurements } from "@coltsfootreach/types";

/** An act as its decider describes it; the journal gives it its identity. */
export type NewAct = Omit<AutomaticAction, "id" | "undoneAtMs">;

export interface ActJournal {
  record(act: NewAct): AutomaticAction;
  /** Marks an act as undone; an act that is gone or undone stays as it is. */
  markUndone(id: string, undoing: Undoing): void;
  /** From the oldest to the newest. */
  list(): readonly AutomaticAction[];
  find(id: string): AutomaticAction | undefined;
  /** The newest act of a kind on a subject that stands. */
  findStanding(
    kind: AutomaticAction["kind"],
    subject: string,
  ): AutomaticAction | undefined;
}

/** When an act ceased to stand, and what came to light until then. */
export interface Undoing {
  readonly atMs: number;
  readonly figures?: Measurements | undefined;
}

export interface JournalOptions {
  /** Goes into each act's name, so that names differ between entries. */
  readonly incarnation: string;
  /** Acts kept. */
  readonly limit: number;
}

export function createActJournal(
  { incarnation, limit }: JournalOptions,
): ActJournal {
  /** In the order of their making, as a map keeps its insertion order. */
  const acts = new Map<string, AutomaticAction>();
  let count = 0;

  function record(act: NewAct): AutomaticAction {
    count++;
    const recorded: AutomaticAction = { ...act, id: `${incarnation}-${count}` };
    acts.set(recorded.id, recorded);
    if (acts.size > limit) dropOldest();
    return recorded;
  }

  function dropOldest(): void {
    const [oldest] = acts.keys();
    if (oldest !== undefined) acts.delete(oldest);
  }

  function markUndone(id: string, { atMs, figures }: Undoing): void {
    const act = acts.get(id);
    if (act === undefined || act.undoneAtMs !== undefined) return;
    acts.set(id, {
      ...act,
      figures: { ...act.figures, ...figures },
      undoneAtMs: atMs,
    });
  }

  function findStanding(
    kind: AutomaticAction["kind"],
    subject: string,
  ): AutomaticAction | undefined {
    return [...acts.values()].findLast((act) =>
      act.kind === kind && act.subject === subject &&
      act.undoneAtMs === undefined
    );
  }

  return {
    record,
    markUndone,
    findStanding,
    list: () => [...acts.values()],
    find: (id) => acts.get(id),
  };
}
