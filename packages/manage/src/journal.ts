/**
 * Records the automatic actions of an entry, such as ejecting a server. Drops
 * the oldest when there are more than the limit.
 */
import type { AutomaticAction, Measurements } from "@coltsfootreach/types";

/** An action before it is recorded; the journal assigns its id. */
export type NewAction = Omit<AutomaticAction, "id" | "undoneAtMs">;

export interface ActionJournal {
  record(action: NewAction): AutomaticAction;
  /** Marks an action as undone, unless it was dropped or already undone. */
  markUndone(id: string, details: UndoDetails): void;
  /** Returns actions from the oldest to the newest. */
  list(): readonly AutomaticAction[];
  find(id: string): AutomaticAction | undefined;
  /** Finds the newest action of a kind on a subject that is not undone. */
  findActive(
    kind: AutomaticAction["kind"],
    subject: string,
  ): AutomaticAction | undefined;
}

/** When an action was undone, and measurements to add to its figures. */
export interface UndoDetails {
  readonly atMs: number;
  readonly figures?: Measurements | undefined;
}

export interface ActionJournalOptions {
  /** Prefix of every action id, which makes ids unique across entries. */
  readonly incarnation: string;
  /** Maximum number of actions to keep. */
  readonly limit: number;
}

export function createActionJournal(
  { incarnation, limit }: ActionJournalOptions,
): ActionJournal {
  /** Ordered by time of recording, since a map keeps insertion order. */
  const actions = new Map<string, AutomaticAction>();
  let count = 0;

  function record(action: NewAction): AutomaticAction {
    count++;
    const recordedAction: AutomaticAction = {
      ...action,
      id: `${incarnation}-${count}`,
    };
    actions.set(recordedAction.id, recordedAction);
    if (actions.size > limit) dropOldest();
    return recordedAction;
  }

  function dropOldest(): void {
    const [oldest] = actions.keys();
    if (oldest !== undefined) actions.delete(oldest);
  }

  function markUndone(id: string, { atMs, figures }: UndoDetails): void {
    const action = actions.get(id);
    if (action === undefined || action.undoneAtMs !== undefined) return;
    actions.set(id, {
      ...action,
      figures: { ...action.figures, ...figures },
      undoneAtMs: atMs,
    });
  }

  function findActive(
    kind: AutomaticAction["kind"],
    subject: string,
  ): AutomaticAction | undefined {
    return [...actions.values()].findLast((action) =>
      action.kind === kind && action.subject === subject &&
      action.undoneAtMs === undefined
    );
  }

  return {
    record,
    markUndone,
    findActive,
    list: () => [...actions.values()],
    find: (id) => actions.get(id),
  };
}
