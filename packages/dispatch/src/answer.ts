/** Final results of jobs, as reported to callers. */

export type Answer =
  /** All tasks completed successfully. */
  | { readonly kind: "completed" }
  /** The job cannot be completed. */
  | { readonly kind: "failed"; readonly reason: FailureReason }
  /** The caller's timeout expired; some tasks may have run. */
  | { readonly kind: "timedOut" }
  /** No task has run or will run. */
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
  };

export type FailureReason =
  /** A task used all the attempts that its queue allows. */
  | "attemptsUsed"
  /** No backend server has the required capacity or label. */
  | "fitsNowhere";

export type RefusalReason =
  /** The queued work would delay it beyond its deadline. */
  | "overload"
  /** No configuration or no backend server is available. */
  | "unavailable"
  /** The job uses a feature that is not implemented yet. */
  | "unsupported"
  /** This entry is shutting down. */
  | "stopping"
  /** The caller disconnected or resubmitted the job. */
  | "abandoned";
