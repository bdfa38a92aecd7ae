/**
 * A side and its backend server: runs up to `slots` tasks at once, queues a few
 * more and refuses the rest. Each frame to an entry carries the side's load.
 */
import { createHeap } from "@coltsfootreach/limit";
import type { Load } from "@coltsfootreach/types";
import type { Clock } from "./clock.ts";

export interface StartFrame {
  readonly entry: number;
  readonly job: string;
  readonly index: number;
  /** Number of tasks in the job. */
  readonly of: number;
  readonly declaredMs: number;
  /** Run time on the fastest worker. */
  readonly runMs: number;
}

export type SideFrameKind = "result" | "failure" | "refused" | "heartbeat";

export interface LoadFrame {
  readonly kind: SideFrameKind;
  readonly side: string;
  readonly start?: StartFrame | undefined;
  readonly runMs?: number | undefined;
  readonly load: Load;
  /** Tasks of the addressed entry that the side holds. */
  readonly held: number;
}

export interface SideModel {
  receive(start: StartFrame): void;
  /** Sends a heartbeat to every entry that has heard nothing for a while. */
  beat(): void;
}

export interface SideModelOptions {
  readonly name: string;
  readonly slots: number;
  /** Relative to the fastest worker. */
  readonly speed: number;
  readonly entries: number;
  /** From when on every task fails at once. */
  readonly failingFromMs: number;
  readonly clock: Clock;
  readonly send: (entry: number, frame: LoadFrame) => void;
}

/** Starts that wait on a side, as a share of its slots. */
const QUEUE_SHARE = 0.5;

/** Silence on a link after which a side sends a heartbeat. */
export const HEARTBEAT_MS = 1_000;

/** How long a failing server takes to fail a task. */
const FAILURE_MS = 1;

export function createSideModel(options: SideModelOptions): SideModel {
  const { name, slots, speed, clock, failingFromMs } = options;
  const maxQueued = Math.ceil(slots * QUEUE_SHARE);
  const queue = createHeap<StartFrame>();
  const held: number[] = Array(options.entries).fill(0);
  const sentAtMs: number[] = Array(options.entries).fill(0);
  let running = 0;

  function send(
    entry: number,
    frame: Pick<LoadFrame, "kind" | "start" | "runMs">,
  ): void {
    sentAtMs[entry] = clock.nowMs();
    options.send(entry, {
      ...frame,
      side: name,
      load: { running, queued: queue.size() },
      held: held[entry]!,
    });
  }

  function run(start: StartFrame): void {
    running++;
    const fails = clock.nowMs() >= failingFromMs;
    const runMs = fails ? FAILURE_MS : start.runMs / speed;
    clock.after(runMs, () => end(start, runMs, fails));
  }

  /** Small jobs pass big ones, and older starts pass newer ones. */
  function rankOf(start: StartFrame): number {
    return clock.nowMs() + (start.of * start.declaredMs) / slots;
  }

  function end(start: StartFrame, runMs: number, failed: boolean): void {
    running--;
    held[start.entry]!--;
    const next = queue.pop();
    if (next !== undefined) run(next);
    send(start.entry, { kind: failed ? "failure" : "result", start, runMs });
  }

  return {
    receive(start) {
      if (running >= slots && queue.size() >= maxQueued) {
        send(start.entry, { kind: "refused", start });
        return;
      }
      held[start.entry]!++;
      if (running < slots) run(start);
      else queue.push(rankOf(start), start);
    },

    beat() {
      for (let entry = 0; entry < options.entries; entry++) {
        if (clock.nowMs() - sentAtMs[entry]! < HEARTBEAT_MS) continue;
        send(entry, { kind: "heartbeat" });
      }
    },
  };
}
