/**
 * What an entry's core asks its tasks to do, and how it is set up.
 */
import type { RecordOptions } from "@coltsfootreach/admit";
import type { ConfigurationHolder } from "@coltsfootreach/configure";
import type { Queue } from "@coltsfootreach/limit";
import type { Limits } from "./limits.ts";
import type { PlacementPolicy } from "@coltsfootreach/place";
import type {
  AutomaticAction,
  EntryMessage,
  Measurements,
  Member,
  ParsedConfiguration,
  PeerMessage,
  Reply,
} from "@coltsfootreach/types";

export type EntryEffect =
  | {
    readonly kind: "reply";
    /** The number under which the request was given to the core. */
    readonly request: number;
    readonly reply: Reply;
  }
  | {
    readonly kind: "toSide";
    /** Incarnation of the side. */
    readonly side: string;
    readonly message: EntryMessage;
    /** True when the message can wait for the next frame. */
    readonly lazy: boolean;
  }
  | {
    readonly kind: "toPeer";
    readonly entry: string;
    readonly message: PeerMessage;
  }
  /** This run of the entry is no longer a member and must join anew. */
  | { readonly kind: "removed" }
  | { readonly kind: "act"; readonly act: NewAct }
  | {
    readonly kind: "actUndone";
    readonly act: UndoneAct;
    readonly atMs: number;
  }
  /** An operator has declared these entries gone for good. */
  | {
    readonly kind: "removeMembers";
    readonly incarnations: ReadonlySet<string>;
  };

/** Something the core did by itself; the journal gives it its identity. */
export type NewAct = Omit<AutomaticAction, "id" | "undoneAtMs">;

/** Names the act that stands by what was done to whom. */
export interface UndoneAct extends Pick<AutomaticAction, "kind" | "subject"> {
  /** What came to light while it stood. */
  readonly figures: Measurements;
}

export interface EntryOptions {
  readonly member: Member;
  readonly records: RecordOptions;
  readonly queue: Queue;
  readonly policy: PlacementPolicy;
  readonly limits: Limits;
  /** Unix time in milliseconds, to judge the age of keys. */
  wallMs(): number;
  /** The configuration of this process, kept across runs. */
  readonly holder: ConfigurationHolder;
  /** The part of a configuration that sides need. */
  excerptForSides(estate: ParsedConfiguration): string;
  /** How long a side trusts a confirmation of its table. */
  readonly freshnessMs: number;
  /** Silence after which a side is out of placement. */
  readonly sideLostMs: number;
  /** How long tasks on a lost side are waited for. */
  readonly doubtMs: number;
  /** Most submissions that wait for a takeover or hand-over to settle. */
  readonly maxHeld: number;
}
