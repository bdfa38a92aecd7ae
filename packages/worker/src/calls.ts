/** Orders to a backend server and what it answers. */
import type { RunOutcome, RunRef } from "@coltsfootreach/run";

/** Names the life of a backend server that an order is meant for. */
export interface ServerLife {
  readonly id: string;
  readonly born: number;
  readonly address: string;
}

export interface StartOrder {
  readonly server: ServerLife;
  readonly ref: RunRef;
  readonly payload: string;
  /** On the backend server's clock; not started after it. */
  readonly untilMs: number;
  readonly fencingToken: number;
}

export type StartReply =
  | { readonly kind: "started"; readonly clockMs: number }
  | {
    readonly kind: "refused";
    readonly reason: "fence" | "old" | "late" | "room" | "unhealthy" | "other";
  }
  /** The order may be carried out, now or later. */
  | { readonly kind: "unanswered" };

export interface StopOrder {
  readonly server: ServerLife;
  readonly ref: RunRef;
  readonly fencingToken: number;
}

/** True once the run is barred: it ends soon and will not start any more. */
export type StopReply = { readonly isBarred: boolean };

export interface ListOrder {
  /** Tells this side's lists apart. */
  readonly number: number;
  readonly server: ServerLife;
  readonly fencingToken: number;
  /** Ends up to this number have been taken in. */
  readonly observed: number;
  /** Renews the lease of all runs; on the backend server's clock. */
  readonly untilMs?: number | undefined;
  /** The answer waits this long for an end. */
  readonly waitMs: number;
}

export interface RunningRow {
  readonly ref: RunRef;
  readonly percent: number;
}

export interface EndRow {
  /** Counts the ends of one life of the backend server. */
  readonly number: number;
  readonly ref: RunRef;
  readonly end: RunOutcome;
}

export type ListReply =
  | {
    readonly kind: "listed";
    readonly clockMs: number;
    readonly born: number;
    readonly running: readonly RunningRow[];
    readonly ends: readonly EndRow[];
  }
  /** A higher token was used before; a new one must be above this clock. */
  | { readonly kind: "fenced"; readonly clockMs: number }
  /** Another life answers at the address. */
  | { readonly kind: "otherLife" }
  /** Nothing listens at the address. */
  | { readonly kind: "absent" }
  | { readonly kind: "unanswered" };
