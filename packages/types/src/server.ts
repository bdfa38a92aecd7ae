/**
 * Announcements of backend servers, and the identity and load of sides.
 */
import type { ComputeResources } from "./job.ts";

/** Sent by a backend server to the side on its VM. */
export interface Announcement {
  readonly server: string;
  /** HTTP origin that accepts tasks. */
  readonly origin: string;
  /** Maximum number of tasks that run concurrently. */
  readonly slots: number;
  /** Maximum number of connections that the side may open. */
  readonly connections: number;
  /** Names of the request classes that the server supports. */
  readonly classes: readonly string[];
  /** Compute resources that the worker provides to one task. */
  readonly size: ComputeResources;
}

/** One incarnation of a side process and the worker that it runs on. */
export interface SideIdentity {
  readonly side: string;
  /** Unique to each start of the process. */
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly worker: string;
}

/** The load that a side last reported. */
export interface Load {
  /** Number of running tasks, from all entries. */
  readonly running: number;
  /** Number of starts queued on the side for a slot, from all entries. */
  readonly queued: number;
}

/** What a task requires from a backend server. */
export interface TaskRequirements {
  readonly class: string;
  readonly size: ComputeResources;
}

/** Returns whether the available resources cover the required ones. */
export function hasCapacityFor(
  available: ComputeResources,
  required: ComputeResources,
): boolean {
  return available.cores >= required.cores &&
    available.memoryMb >= required.memoryMb &&
    available.accelerators >= required.accelerators;
}

/** Returns whether a backend server can run a task, regardless of load. */
export function canServe(
  announcement: Announcement,
  requirements: TaskRequirements,
): boolean {
  return announcement.classes.includes(requirements.class) &&
    hasCapacityFor(announcement.size, requirements.size);
}
