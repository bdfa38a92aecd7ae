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

/** What a task asks of a backend server. */
export interface Need {
  readonly class: string;
  readonly size: Size;
}

/** True when a worker of one size can hold a task of another. */
export function holds(offer: Size, need: Size): boolean {
  return offer.cores >= need.cores && offer.memoryMb >= need.memoryMb &&
    offer.accelerators >= need.accelerators;
}

/** True when a backend server can run such a task, busy or not. */
export function serves(offer: Announcement, need: Need): boolean {
  return offer.classes.includes(need.class) && holds(offer.size, need.size);
}
