/**
 * The table of entries. It is one value in the key-value service, changed by
 * compare-and-swap only; its version rises by one with each change.
 */

/** One run of an entry process. A restarted entry is a new member. */
export interface Member {
  /** Unique to this run of the process. */
  readonly incarnation: string;
  /** The name from its settings, kept across restarts. */
  readonly name: string;
  readonly dataCentre: string;
  /** Where sides and other entries reach it, as `IP:port`. */
  readonly address: string;
  /** A draining member owns no keys but still speaks for the table. */
  readonly draining: boolean;
}

/** A member that was removed without having left by itself. */
export interface Removal {
  readonly incarnation: string;
  /** The name from the member's settings. */
  readonly name: string;
  /** The table version that first lacked it. */
  readonly version: number;
}

export interface Table {
  readonly version: number;
  readonly members: readonly Member[];
  /** The newest removals, oldest first. */
  readonly removals: readonly Removal[];
}

/** The table before any entry has joined. */
export const EMPTY_TABLE: Table = {
  version: 0,
  members: [],
  removals: [],
};
