/**
 * The membership table of entries. It is a single value in the key-value
 * service and changes by compare-and-swap only. Its version increases by one
 * with each change.
 */

/** One incarnation of an entry process. A restarted entry is a new member. */
export interface Member {
  /** Unique to each start of the process. */
  readonly incarnation: string;
  /** The name from the entry's settings, stable across restarts. */
  readonly name: string;
  readonly dataCentre: string;
  /** Address for connections from sides and other entries, as `IP:port`. */
  readonly address: string;
  /** A draining member owns no keys but still confirms the table version. */
  readonly draining: boolean;
}

/** A member that was removed without having left voluntarily. */
export interface Removal {
  readonly incarnation: string;
  /** The name from the member's settings. */
  readonly name: string;
  /** The first table version without the member. */
  readonly version: number;
}

export interface Table {
  readonly version: number;
  readonly members: readonly Member[];
  /** The most recent removals, oldest first. */
  readonly removals: readonly Removal[];
}

/** The initial table, before any entry has joined. */
export const EMPTY_TABLE: Table = {
  version: 0,
  members: [],
  removals: [],
};
