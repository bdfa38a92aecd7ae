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
  /** Number of the last run end that was processed. */
  observed: number;
  readonly clock: ServerClock;
  lastReplyAt: number;
  /**
   * Whether the server has listed its runs and accepts the side's requests. Until
   * then it gets no runs, and lists are requested until one arrives.
   */
  hasRunList: boolean;
  /**
   * The server has sent a leave notice. It gets no new runs; those that it has
   * may go on until it ends.
   */
  isLeaving: boolean;
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

export function createServerState(
  announcement: Announcement,
  clockMs: number,
  now: number,
): ServerState {
  return {
    instance: toInstance(announcement),
    announcement,
    observed: 0,
    clock: createServerClock(clockMs, now),
    lastReplyAt: now,
    hasRunList: false,
    isLeaving: false,
  };
}
