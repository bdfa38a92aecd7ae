/**
 * What an entry and a side tell each other. The entry decides which task runs
 * where; the side alone says whether there is room, and it alone talks to its
 * backend server.
 */
import type { Resources, TaskRef } from "./job.ts";
import type { ServerReport } from "./server.ts";

/** Asks a side to start one run of a task. */
export interface Offer {
  readonly task: TaskRef;
  /** Number of the run; rises over the runs of a task. */
  readonly run: number;
  readonly payload: string;
  readonly resources: Resources;
  /** The caller's guess of the run time, for the side's estimates. */
  readonly estimateMs: number;
  /** Life of the backend server that the entry has in mind. */
  readonly server: string;
  readonly born: number;
}

/** A run that an entry believes to be on a side after the stream broke. */
export interface Claim {
  readonly ref: RunRef;
  readonly resources: Resources;
  readonly estimateMs: number;
}

export interface RunRef {
  readonly task: TaskRef;
  readonly run: number;
}

/** From an entry to a side. Each frame also counts as a heartbeat. */
export interface DispatchFrame {
  readonly kind: "dispatch";
  /** Rises with each frame of the stream. */
  readonly sequence: number;
  readonly offers: readonly Offer[];
  readonly stops: readonly RunRef[];
  /** Only on the first frame of a stream. */
  readonly claims?: readonly Claim[] | undefined;
  /** Addresses of all entries that this one knows. */
  readonly entries?: readonly string[] | undefined;
  /** Incarnation of the entry; on the first frame. */
  readonly entry?: string | undefined;
}

export type RefusalReason =
  | "noRoom"
  | "closed"
  | "suspect"
  | "otherServer"
  /** A run with this number or a higher one is known there. */
  | "superseded";

export type RunEnd = "done" | "failed" | "stopped" | "lapsed" | "broken";

/** What became of a run. */
export type RunNews =
  | {
    readonly kind: "refused";
    readonly ref: RunRef;
    readonly reason: RefusalReason;
    /** Highest run of the task that is known there. */
    readonly highestRun: number;
  }
  | {
    readonly kind: "ended";
    readonly ref: RunRef;
    readonly end: RunEnd;
    readonly ms: number;
  }
  /** Does not run and will not, whether or not it ever ran. */
  | { readonly kind: "lost"; readonly ref: RunRef; readonly reason: string }
  /** Makes no progress; the owner may want to stop it. */
  | { readonly kind: "stalled"; readonly ref: RunRef };

/** From a side to an entry. Each frame also counts as a heartbeat. */
export interface WorkFrame {
  readonly kind: "work";
  /** Last frame of the entry that this one takes into account. */
  readonly seen: number;
  readonly news: readonly RunNews[];
  /** Left out while nothing has changed. */
  readonly server?: ServerReport | undefined;
  /** Name of the side's VM; on the first frame. */
  readonly side?: string | undefined;
  readonly dataCentre?: string | undefined;
}
