/**
 * The life of the backend server that the side works with. An announcement may
 * come from a life that is over, so a new one is used only after the server
 * itself has answered under it.
 */
import type { Announcement } from "@coltsfootreach/run";
import type { ServerLife } from "./calls.ts";

export interface CurrentLife {
  readonly life: ServerLife;
  announcement: Announcement;
  /** Above that of any side process before; see `adopt`. */
  fencingToken: number;
  /** Ends up to this number have been taken in. */
  observed: number;
  /** Server's clock less the side's clock, at the last answer. */
  clockOffsetMs: number;
  answeredAt: number;
  /** Its runs have been read at least once. */
  isListed: boolean;
}

export function lifeOf(announcement: Announcement): ServerLife {
  const { id, born, address } = announcement;
  return { id, born, address };
}

export function isSameLife(left: ServerLife, right: ServerLife): boolean {
  return left.id === right.id && left.born === right.born;
}

/**
 * The token is the server's own clock at the first answer: it never runs
 * backward within a life, and a later side process reads it later.
 */
export function adopt(
  announcement: Announcement,
  clockMs: number,
  now: number,
): CurrentLife {
  return {
    life: lifeOf(announcement),
    announcement,
    fencingToken: Math.max(1, Math.floor(clockMs)),
    observed: 0,
    clockOffsetMs: clockMs - now,
    answeredAt: now,
    isListed: false,
  };
}
