/** Side effects that a dispatcher requests from its host process. */
import type { DispatchFrame } from "@coltsfootreach/run";
import type { Answer } from "./answer.ts";

/** Identifies one stream from a side. */
export type SessionId = number;

/** Identifies one submission; a resubmitted job gets a new id. */
export type SubmissionId = number;

export type DispatchEffect =
  | {
    readonly kind: "send";
    readonly session: SessionId;
    readonly frame: DispatchFrame;
  }
  | { readonly kind: "close"; readonly session: SessionId }
  | {
    readonly kind: "answer";
    readonly submission: SubmissionId;
    readonly answer: Answer;
  }
  | { readonly kind: "log"; readonly decision: DispatchDecision };

/** A decision to write to the log. */
export interface DispatchDecision {
  readonly message: string;
  readonly job?: string | undefined;
  readonly index?: number | undefined;
  readonly run?: number | undefined;
  readonly queue?: string | undefined;
  readonly reason?: string | undefined;
  readonly side?: string | undefined;
  readonly server?: string | undefined;
  readonly configurationVersion?: number | undefined;
  readonly figures?: Readonly<Record<string, number>> | undefined;
}
