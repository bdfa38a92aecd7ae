/** What a run does to the fleet, and when. */
import type { BackendFault, StoreFault } from "./fault.ts";

/** A process of the fleet, by its place among those of its role. */
export interface Victim {
  readonly role: "entry" | "side";
  readonly index: number;
}

export type Act =
  /** Ends a process without warning and starts it again later. */
  | {
    readonly kind: "kill";
    readonly victim: Victim;
    readonly backAfterMs: number;
  }
  | {
    readonly kind: "pause";
    readonly victim: Victim;
    readonly forMs: number;
  }
  /** Asks a process to stop, and starts it again once it has ended. */
  | { readonly kind: "replace"; readonly victim: Victim }
  /** Takes a side and its backend server away together. */
  | {
    readonly kind: "killWorker";
    readonly side: number;
    readonly backAfterMs: number;
  }
  /** Cuts an entry off from sides and other entries. */
  | {
    readonly kind: "cut";
    readonly entry: number;
    readonly how: "refuse" | "silent";
    readonly forMs: number;
  }
  /** Makes open links to an entry silent for good; new ones work. */
  | {
    readonly kind: "silenceLinks";
    readonly entry: number;
    readonly direction: Direction;
    /** Share of the open links. */
    readonly share: number;
  }
  | { readonly kind: "dropLinks"; readonly entry: number }
  /** Makes open connections to a backend server silent for good. */
  | { readonly kind: "silenceBackend"; readonly side: number }
  | {
    readonly kind: "backend";
    readonly side: number;
    readonly fault: BackendFault;
    readonly forMs: number;
  }
  | {
    readonly kind: "store";
    readonly fault: StoreFault;
    readonly forMs: number;
  };

export type Direction = "both" | "toEntry" | "fromEntry";

export interface PlannedAct {
  /** Since the start of the load in milliseconds. */
  readonly atMs: number;
  readonly act: Act;
}
