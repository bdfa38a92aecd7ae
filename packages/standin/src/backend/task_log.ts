/**
 * What a backend server knows of its tasks: which run, how they ended, which
 * are revoked, and every start in order. It does no I/O and is told the time.
 */

export interface Outcome {
  readonly status: number;
  readonly body: string;
}

export type TaskReport =
  | { readonly state: "unknown" }
  | { readonly state: "running" }
  | { readonly state: "finished"; readonly outcome: Outcome };

export interface StartRecord {
  readonly id: string;
  readonly class: string;
  readonly atMs: number;
}

export type Admission = "started" | "revoked" | "full";

export interface TaskLog {
  /** Records a start unless the task is revoked or no slot is free. */
  start(record: StartRecord): Admission;
  finish(id: string, outcome: Outcome): void;
  report(id: string): TaskReport;
  /** Refuses the task from now on, unless it has been started. */
  revoke(id: string): "revoked" | "running" | "finished";
  /** All starts, oldest first; an id stands in it once per start. */
  starts(): readonly StartRecord[];
  running(): number;
}

/** Outcomes kept to be asked for again. */
const MAX_OUTCOMES = 100_000;

export function createTaskLog(slots: number): TaskLog {
  const starts: StartRecord[] = [];
  const runningById = new Map<string, number>();
  const outcomes = new Map<string, Outcome>();
  const revoked = new Set<string>();
  let running = 0;

  return {
    start,
    finish,
    report,
    revoke,
    starts: () => starts,
    running: () => running,
  };

  function start(record: StartRecord): Admission {
    const { id } = record;
    if (revoked.has(id)) {
      return "revoked";
    }
    if (running >= slots) {
      return "full";
    }
    // A second start is not refused: it must show in the records.
    starts.push(record);
    runningById.set(id, (runningById.get(id) ?? 0) + 1);
    running++;
    return "started";
  }

  function finish(id: string, outcome: Outcome): void {
    const left = (runningById.get(id) ?? 1) - 1;
    if (left === 0) {
      runningById.delete(id);
    } else {
      runningById.set(id, left);
    }
    running--;
    outcomes.set(id, outcome);
    dropOldOutcomes();
  }

  function dropOldOutcomes(): void {
    const [oldest] = outcomes.keys();
    if (outcomes.size > MAX_OUTCOMES && oldest !== undefined) {
      outcomes.delete(oldest);
    }
  }

  function report(id: string): TaskReport {
    if (runningById.has(id)) {
      return { state: "running" };
    }
    const outcome = outcomes.get(id);
    return outcome === undefined
      ? { state: "unknown" }
      : { state: "finished", outcome };
  }

  function revoke(id: string): "revoked" | "running" | "finished" {
    const { state } = report(id);
    if (state !== "unknown") {
      return state;
    }
    revoked.add(id);
    return "revoked";
  }
}
