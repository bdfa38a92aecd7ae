/**
 * Backend servers as they announce themselves, and sides as entries see them.
 */
import type { Size } from "./job.ts";

/** What a backend server tells the side on its VM. */
export interface Announcement {
  readonly server: string;
  /** Where it takes tasks, as an HTTP origin. */
  readonly origin: string;
  /** How many tasks it runs at once. */
  readonly slots: number;
  /** How many connections the side may open to it. */
  readonly connections: number;
  /** The classes it serves. */
  readonly classes: readonly string[];
  /** What the worker offers to one task. */
  readonly size: Size;
}

/** One run of a side process and the worker it stands on. */
export interface SideIdentity {
  readonly side: string;
  /** Unique to this run of the process. */
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly worker: string;
}

/** How busy a side is, as it last said itself. */
export interface Load {
  /** Tasks that run now, from all entries. */
  readonly running: number;
  /** Starts that wait on the side for a slot, from all entries. */
  readonly queued: number;
}
