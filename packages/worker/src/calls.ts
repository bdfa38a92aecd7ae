/** Requests to a backend server and its replies. */
import type { RunOutcome, RunRef } from "@coltsfootreach/run";

/** Instance of a backend server that a request targets. */
export interface ServerInstance {
  readonly id: string;
  readonly born: number;
  readonly address: string;
}

export interface StartRequest {
  readonly server: ServerInstance;
  readonly ref: RunRef;
  readonly payload: string;
  /** Deadline for the start and end of the lease, on the server's clock. */
  readonly untilMs: number;
  readonly fencingToken: number;
}

export type StartReply =
  | { readonly kind: "started" }
  | {
    readonly kind: "refused";
    readonly reason: "fence" | "old" | "late" | "room" | "unhealthy" | "other";
  }
  /** Outcome unknown: the server may start the run, even later. */
  | { readonly kind: "unanswered" };

export interface StopRequest {
  readonly server: ServerInstance;
  readonly ref: RunRef;
  readonly fencingToken: number;
}

/** True if the server confirms that the run ends soon and cannot start again. */
export type StopReply = { readonly isConfirmed: boolean };

export interface ListRequest {
  /** Increases with each list request of the side. */
  readonly number: number;
  readonly server: ServerInstance;
  readonly fencingToken: number;
  /** Acknowledges the run ends up to this number. */
  readonly observed: number;
  /** Renews the lease of all runs until this time on the server's clock. */
  readonly untilMs?: number | undefined;
  /** Long polling: maximum time to wait for a run to end before replying. */
  readonly waitMs: number;
}

export interface ListedRun {
  readonly ref: RunRef;
  readonly percent: number;
}

export interface RunEnd {
  /** Increases with each run that ends on one instance of the server. */
  readonly number: number;
  readonly ref: RunRef;
  readonly end: RunOutcome;
}

export type ListReply =
  | {
    readonly kind: "listed";
    readonly clockMs: number;
    readonly born: number;
    readonly running: readonly ListedRun[];
    readonly ends: readonly RunEnd[];
  }
  /** The server has seen a higher token. */
  | { readonly kind: "fenced" }
  /** A different instance answers at the address. */
  | { readonly kind: "otherLife" }
  /** The connection was refused: nothing listens at the address. */
  | { readonly kind: "absent" }
  | { readonly kind: "unanswered" };
