/**
 * Frames that an entry and a side exchange. The entry decides where each task
 * runs. Only the side admits runs against the free capacity of its backend
 * server, and only the side communicates with that server.
 */
import type { Resources, TaskRef } from "./job.ts";
import type { ServerReport } from "./server.ts";

/** Asks a side to start one run of a task. */
export interface Offer {
  readonly task: TaskRef;
  /** Run number; increases with each run of a task. */
  readonly run: number;
  readonly payload: string;
  readonly resources: Resources;
  /** Run time estimated by the caller; input to the side's own estimates. */
  readonly estimateMs: number;
  /** Backend server that the entry targets; `born` identifies its instance. */
  readonly server: string;
  readonly born: number;
}

/** A run that an entry expects to find on a side after a reconnect. */
export interface Claim {
  readonly ref: RunRef;
  readonly resources: Resources;
  readonly estimateMs: number;
}

export interface RunRef {
  readonly task: TaskRef;
  readonly run: number;
}

/** Sent from an entry to a side. Each frame also counts as a heartbeat. */
export interface DispatchFrame {
  readonly kind: "dispatch";
  /** Increases with each frame of the stream. */
  readonly sequence: number;
  readonly offers: readonly Offer[];
  readonly stops: readonly RunRef[];
  /** Sent only in the first frame of a stream. */
  readonly claims?: readonly Claim[] | undefined;
  /** Addresses of all entries known to the sender. */
  readonly entries?: readonly string[] | undefined;
  /** Incarnation of the entry; sent in the first frame. */
  readonly entry?: string | undefined;
}

export type RefusalReason =
  | "noRoom"
  | "closed"
  | "suspect"
  | "otherServer"
  /** The side already knows a run with this number or a higher one. */
  | "superseded";

export type RunOutcome = "done" | "failed" | "stopped" | "lapsed" | "broken";

/** A status change of a run. */
export type RunUpdate =
  | {
    readonly kind: "refused";
    readonly ref: RunRef;
    readonly reason: RefusalReason;
    /** Highest run number of the task that the side knows. */
    readonly highestRun: number;
  }
  | {
    readonly kind: "ended";
    readonly ref: RunRef;
    readonly end: RunOutcome;
    readonly ms: number;
  }
  /** The run is not executing and never will; it may have executed before. */
  | { readonly kind: "lost"; readonly ref: RunRef; readonly reason: string }
  /** The run makes no progress; the entry may decide to stop it. */
  | { readonly kind: "stalled"; readonly ref: RunRef };

/** Sent from a side to an entry. Each frame also counts as a heartbeat. */
export interface WorkFrame {
  readonly kind: "work";
  /** Sequence number of the last frame from the entry that was processed. */
  readonly seen: number;
  readonly news: readonly RunUpdate[];
  /** Omitted if unchanged since the last report. */
  readonly server?: ServerReport | undefined;
  /** Name of the side's VM; sent in the first frame. */
  readonly side?: string | undefined;
  readonly dataCentre?: string | undefined;
}
