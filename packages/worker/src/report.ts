/** Reports about the backend server that a side sends to entries. */
import { areResourcesEqual, type ServerReport } from "@coltsfootreach/run";
import type { ServerState } from "./server_state.ts";

/** The side's own view of the server, in addition to what it announces. */
export type ServerAssessment = Pick<
  ServerReport,
  "room" | "isOpen" | "slowness" | "isSuspect"
>;

/** Rounding steps per unit; finer changes would only cause useless reports. */
const SLOWNESS_STEPS = 100;

export function createReport(
  { instance, announcement }: ServerState,
  assessment: ServerAssessment,
): ServerReport {
  const slowness = Math.round(assessment.slowness * SLOWNESS_STEPS);
  return {
    id: instance.id,
    born: instance.born,
    service: announcement.service,
    capacity: announcement.capacity,
    labels: announcement.labels,
    ...assessment,
    slowness: slowness / SLOWNESS_STEPS,
  };
}

export function areReportsEqual(
  left: ServerReport | undefined,
  right: ServerReport | undefined,
): boolean {
  if (left === undefined || right === undefined) return left === right;
  return left.id === right.id && left.born === right.born &&
    left.service === right.service &&
    areLabelsEqual(left.labels, right.labels) &&
    areResourcesEqual(left.capacity, right.capacity) &&
    areResourcesEqual(left.room, right.room) && left.isOpen === right.isOpen &&
    left.slowness === right.slowness && left.isSuspect === right.isSuspect;
}

function areLabelsEqual(
  left: readonly string[],
  right: readonly string[],
): boolean {
  return left === right || left.join() === right.join();
}
