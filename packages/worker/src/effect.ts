/** Effects that the worker core returns for its process to perform. */
import type { WorkFrame } from "@coltsfootreach/run";
import type { ListRequest, StartRequest, StopRequest } from "./calls.ts";

/** Identifies one stream from an entry. */
export type OwnerId = number;

export type WorkerEffect =
  | {
    readonly kind: "send";
    readonly owner: OwnerId;
    readonly frame: WorkFrame;
  }
  | { readonly kind: "close"; readonly owner: OwnerId }
  | { readonly kind: "start"; readonly request: StartRequest }
  | { readonly kind: "stop"; readonly request: StopRequest }
  | { readonly kind: "list"; readonly request: ListRequest }
  | { readonly kind: "log"; readonly decision: WorkerDecision };

/** A decision to write to the log. */
export interface WorkerDecision {
  readonly message: string;
  readonly job?: string | undefined;
  readonly run?: number | undefined;
  readonly reason?: string | undefined;
  readonly entry?: string | undefined;
  readonly server?: string | undefined;
  readonly figures?: Readonly<Record<string, number>> | undefined;
}
