/**
 * State of the backend server instance that the side uses. An announcement may
 * come from an instance that has already ended, so the side uses a new instance
 * only after the instance itself has replied.
 */
import type { Announcement } from "@coltsfootreach/run";
import type { ServerInstance } from "./calls.ts";
import { createServerClock, type ServerClock } from "./server_clock.ts";

export interface ServerState {
  readonly instance: ServerInstance;
  announcement: Announcement;
  /** Higher than that of any earlier side process; see `createServerState`. */
  fencingToken: number;
  /** Number of the last run end that was processed. */
  observed: number;
  readonly clock: ServerClock;
  lastReplyAt: number;
  /** Whether the server has listed its runs at least once. */
  hasRunList: boolean;
}

export function toInstance(announcement: Announcement): ServerInstance {
  const { id, born, address } = announcement;
  return { id, born, address };
}

export function isSameInstance(
  left: ServerInstance,
  right: ServerInstance,
): boolean {
  return left.id === right.id && left.born === right.born;
}

/**
 * Uses the server's own clock at the first reply as the fencing token. The clock
 * never runs backward within an instance, and a later side process reads it later.
 */
export function createServerState(
  announcement: Announcement,
  clockMs: number,
  now: number,
): ServerState {
  return {
    instance: toInstance(announcement),
    announcement,
    fencingToken: Math.max(1, Math.floor(clockMs)),
    observed: 0,
    clock: createServerClock(clockMs, now),
    lastReplyAt: now,
    hasRunList: false,
  };
}
