/**
 * Whether a side may start anything at all: every member of its table must have
 * heard its registration, and the table must be confirmed fresh.
 */
import { createFreshness } from "@coltsfootreach/ownership";
import type {
  EntryFrame,
  StartRefusalReason,
  Table,
} from "@coltsfootreach/types";

export interface Fence {
  hear(frame: EntryFrame): void;
  /** Forgets entries that are not members of a new table. */
  adopt(table: Table): void;
  /** Rises when an entry has declared the earlier registration lost. */
  registration(): number;
  /** Takes a new registration unless the lost one is over; true if it did. */
  registerAnew(lost: number, nowMs: number): boolean;
  /** Why nothing may start under a table now; undefined when it may. */
  closedBecause(table: Table, nowMs: number): StartRefusalReason | undefined;
}

export function createFence(freshnessMs: number): Fence {
  const freshness = createFreshness();
  let registration = 1;
  let registeredAtMs = -Infinity;
  let isRegistered = false;

  /**
   * The side takes starts only once every member has heard its registration,
   * so that a member that takes over knows every side that could have started
   * a task.
   */
  function checkRegistered(table: Table): boolean {
    if (isRegistered) return true;
    if (table.members.length === 0) return false;
    isRegistered = table.members.every((member) => {
      const echo = freshness.echoOf(member.incarnation);
      return echo !== undefined && echo > registeredAtMs;
    });
    return isRegistered;
  }

  return {
    hear: (frame) => freshness.hear(frame),
    adopt: (table) => freshness.retain(table),
    registration: () => registration,
    registerAnew(lost, nowMs) {
      if (lost < registration) return false;
      registration = lost + 1;
      registeredAtMs = nowMs;
      isRegistered = false;
      return true;
    },
    closedBecause(table, nowMs) {
      if (!checkRegistered(table)) return "notRegistered";
      const ageMs = nowMs - freshness.confirmedAtMs(table);
      return ageMs < freshnessMs ? undefined : "unconfirmedTable";
    },
  };
}
