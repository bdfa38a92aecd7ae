/** What a caller is told about its job. */

export type Answer =
  /** All tasks have ended as done. */
  | { readonly kind: "completed" }
  /** Cannot be completed. */
  | { readonly kind: "failed"; readonly reason: FailureReason }
  /** The caller's time is up; some of its tasks may have run. */
  | { readonly kind: "timedOut" }
  /** No task has run, and none will. */
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
  };

export type FailureReason =
  /** A task has failed as often as its queue allows. */
  | "attemptsUsed"
  /** No backend server is large enough or has the label. */
  | "fitsNowhere";

export type RefusalReason =
  /** The work ahead of it would make it late. */
  | "overload"
  /** No configuration, or no backend server, is known. */
  | "unavailable"
  /** A kind of job that is not carried out yet. */
  | "unsupported"
  /** This entry is about to stop. */
  | "stopping"
  /** The caller has left. */
  | "abandoned";
