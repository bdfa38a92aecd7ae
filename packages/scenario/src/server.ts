/**
 * Fake backend servers. Each knows which tasks it has started, keeps running
 * them when its side is gone, and may be down, slow, or fail everything.
 */
import type { JobId, Start, TaskId, TaskOutcome } from "@coltsfootreach/types";
import type { Agenda } from "./agenda.ts";

export interface StartLog {
  note(task: TaskId, server: string): void;
  startsOf(job: JobId, index: number): readonly string[];
  all(): ReadonlyMap<string, readonly string[]>;
}

export function createStartLog(): StartLog {
  const starts = new Map<string, string[]>();
  const nameOf = (job: JobId, index: number) => `${job}#${index}`;
  return {
    note({ job, index }, server) {
      const name = nameOf(job, index);
      const known = starts.get(name);
      if (known === undefined) starts.set(name, [server]);
      else known.push(server);
    },
    startsOf: (job, index) => starts.get(nameOf(job, index)) ?? [],
    all: () => starts,
  };
}

export interface Server {
  readonly name: string;
  run(start: Start, ended: (outcome: TaskOutcome) => void): void;
  stop(task: TaskId): void;
  setRunMs(runMs: number): void;
  setMode(mode: "up" | "down" | "failing"): void;
  /** Everything about the server that can matter later. */
  state(): unknown;
}

/** What a backend server answers to a task. */
export function bodyOf(job: JobId, index: number): string {
  return `answer of ${job.replace("\n", "/")} ${index}`;
}

export function createServer(
  name: string,
  options: { agenda: Agenda; log: StartLog; runMs: number },
): Server {
  const { agenda, log } = options;
  let { runMs } = options;
  let mode: "up" | "down" | "failing" = "up";
  const running = new Map<string, () => void>();

  return {
    name,
    run(start, ended) {
      const { job, index } = start;
      if (mode === "down") {
        const outcome = { index, state: "failed", verdict: "notRun" } as const;
        agenda.schedule(1, () => ended(outcome));
        return;
      }
      log.note({ job, index }, name);
      const key = `${job}#${index}`;
      const end = (outcome: TaskOutcome) => {
        if (running.delete(key)) ended(outcome);
      };
      running.set(
        key,
        () =>
          end({ index, state: "failed", verdict: "ran", reason: "stopped" }),
      );
      const outcome: TaskOutcome = mode === "failing"
        ? { index, state: "failed", verdict: "ran", reason: "it failed" }
        : {
          index,
          state: "complete",
          verdict: "ran",
          body: bodyOf(job, index),
          server: name,
        };
      agenda.schedule(mode === "failing" ? 1 : runMs, () => end(outcome));
    },
    stop({ job, index }) {
      running.get(`${job}#${index}`)?.();
    },
    setRunMs(next) {
      runMs = next;
    },
    setMode(next) {
      mode = next;
    },
    state: () => ({ mode, runMs, running: [...running.keys()].sort() }),
  };
}
