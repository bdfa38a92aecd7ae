/**
 * Lets tasks take their time. A running task can be stopped, slowed down or
 * told to save a checkpoint, as a worker can do to any task it runs.
 */
import type { Cancel, Clock } from "../clock/clock.ts";

export interface Run {
  readonly id: string;
  /** How long the task takes at full speed, in milliseconds. */
  readonly durationMs: number;
}

export interface Runner {
  /** Settles when the task is done or stopped. */
  run(run: Run): Promise<"done" | "stopped">;
  /** The controls are false when no such task runs. */
  stop(id: string): boolean;
  /** Leaves the task this share of its speed, above 0 and up to 1. */
  throttle(id: string, share: number): boolean;
  checkpoint(id: string): boolean;
  checkpoints(): number;
  close(): void;
}

interface RunningTask {
  readonly settle: (how: "done" | "stopped") => void;
  cancel: Cancel;
  endsAtMs: number;
  share: number;
}

export function createRunner(clock: Clock): Runner {
  const tasks = new Map<string, Set<RunningTask>>();
  let checkpoints = 0;

  return {
    run,
    stop: (id) => each(id, stop),
    throttle: (id, share) => each(id, (task) => throttle(task, share)),
    checkpoint: (id) => each(id, () => checkpoints++),
    checkpoints: () => checkpoints,
    close,
  };

  function run({ id, durationMs }: Run): Promise<"done" | "stopped"> {
    return new Promise((resolve) => {
      const endsAtMs = clock.nowMs() + durationMs;
      const task = { settle, cancel: () => {}, endsAtMs, share: 1 };
      add(id, task);
      schedule(task);

      function settle(how: "done" | "stopped"): void {
        remove(id, task);
        resolve(how);
      }
    });
  }

  function schedule(task: RunningTask): void {
    const leftMs = task.endsAtMs - clock.nowMs();
    task.cancel = clock.schedule(leftMs, () => task.settle("done"));
  }

  function stop(task: RunningTask): void {
    task.cancel();
    task.settle("stopped");
  }

  function throttle(task: RunningTask, share: number): void {
    const nowMs = clock.nowMs();
    const leftAtFullSpeedMs = (task.endsAtMs - nowMs) * task.share;
    task.cancel();
    task.share = share;
    task.endsAtMs = nowMs + leftAtFullSpeedMs / share;
    schedule(task);
  }

  function add(id: string, task: RunningTask): void {
    const same = tasks.get(id);
    if (same === undefined) {
      tasks.set(id, new Set([task]));
    } else {
      same.add(task);
    }
  }

  function remove(id: string, task: RunningTask): void {
    const same = tasks.get(id);
    same?.delete(task);
    if (same?.size === 0) {
      tasks.delete(id);
    }
  }

  function each(id: string, act: (task: RunningTask) => void): boolean {
    const found = [...(tasks.get(id) ?? [])];
    found.forEach(act);
    return found.length > 0;
  }

  function close(): void {
    for (const id of [...tasks.keys()]) {
      each(id, (task) => task.cancel());
    }
  }
}
