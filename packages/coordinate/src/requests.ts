/**
 * Requests that callers make at this entry, and where each waits: in a job
 * record here, with the owner of its job, or for a takeover to settle.
 */
import type { Job, JobId } from "@coltsfootreach/types";

/** What a caller asks. */
export type Ask =
  | {
    readonly kind: "submit";
    readonly job: Job;
    /** False when the reply is to come as soon as the job is admitted. */
    readonly wait: boolean;
  }
  | { readonly kind: "read" }
  | { readonly kind: "cancel" };

/** Who is to get the reply. */
export type Origin =
  | { readonly kind: "local"; readonly request: number }
  | {
    readonly kind: "peer";
    readonly entry: string;
    readonly request: number;
  };

/** A caller's request that another entry must answer. */
export interface Forward {
  readonly request: number;
  readonly job: JobId;
  readonly ask: Ask;
  readonly receivedAtMs: number;
  /** The entry that has it; undefined while it waits for an owner. */
  sentTo: string | undefined;
}

/** A request that waits until its key is settled here. */
export interface Held {
  readonly origin: Origin;
  readonly job: JobId;
  readonly ask: Ask;
  readonly receivedAtMs: number;
}

export interface Waiters {
  add(job: JobId, origin: Origin): void;
  /** Takes out everyone who waits for a job. */
  take(job: JobId): readonly Origin[];
  /** Takes out everyone whose request came through an entry that is gone. */
  dropPeer(entry: string): void;
}

export function createWaiters(): Waiters {
  const waiting = new Map<JobId, Origin[]>();
  return {
    add(job, origin) {
      const origins = waiting.get(job);
      if (origins === undefined) waiting.set(job, [origin]);
      else origins.push(origin);
    },
    take(job) {
      const origins = waiting.get(job) ?? [];
      waiting.delete(job);
      return origins;
    },
    dropPeer(entry) {
      for (const [job, origins] of waiting) {
        const kept = origins.filter((origin) =>
          origin.kind === "local" || origin.entry !== entry
        );
        if (kept.length === 0) waiting.delete(job);
        else waiting.set(job, kept);
      }
    },
  };
}
