/** What a side tells entries about its backend server. */
import { areResourcesEqual, type ServerReport } from "@coltsfootreach/run";
import type { CurrentLife } from "./server_life.ts";

/** What the side believes of the server beside what the server says itself. */
export type Beliefs = Pick<
  ServerReport,
  "room" | "isOpen" | "slowness" | "isSuspect"
>;

/** Finer steps would be reported again and again without being of use. */
const SLOWNESS_STEPS = 100;

export function reportOf(
  { life, announcement }: CurrentLife,
  beliefs: Beliefs,
): ServerReport {
  const slowness = Math.round(beliefs.slowness * SLOWNESS_STEPS);
  return {
    id: life.id,
    born: life.born,
    service: announcement.service,
    capacity: announcement.capacity,
    labels: announcement.labels,
    ...beliefs,
    slowness: slowness / SLOWNESS_STEPS,
  };
}

export function isSameReport(
  left: ServerReport | undefined,
  right: ServerReport | undefined,
): boolean {
  if (left === undefined || right === undefined) return left === right;
  return left.id === right.id && left.born === right.born &&
    left.service === right.service &&
    areSameLabels(left.labels, right.labels) &&
    areResourcesEqual(left.capacity, right.capacity) &&
    areResourcesEqual(left.room, right.room) && left.isOpen === right.isOpen &&
    left.slowness === right.slowness && left.isSuspect === right.isSuspect;
}

function areSameLabels(
  left: readonly string[],
  right: readonly string[],
): boolean {
  return left === right || left.join() === right.join();
}
