/**
 * Chooses the backend server for a task: the one where it is expected to end
 * first among those that have room.
 */
import { fits, type Resources, type Step } from "@coltsfootreach/run";
import type { Worker } from "./workers.ts";

/**
 * Expected times within this share of each other count as equal. Entries that
 * share servers and all took the very fastest would fill it at the same moment.
 */
const EQUAL_SHARE = 0.5;

/** A full server counts as slower by this share than an empty one. */
const LOAD_SHARE = 0.5;

export interface PlacementNeed {
  readonly step: Step;
  readonly service: string;
  /** A task takes this much longer away from the rack with its data. */
  readonly remoteFactor: number;
  readonly now: number;
  /** Servers that must not be used for it. */
  readonly avoid: ReadonlySet<string>;
  /** Tasks of the step on a server already. */
  countOnServer(server: string): number;
  /** When the task must end for its job to be in time; none for late jobs. */
  readonly endBy: number | undefined;
  /** May go to a server that is on trial after failures. */
  readonly mayUseSuspects: boolean;
  /** Number from 0 to 1, for choices among equals. */
  random(): number;
}

/** Run time that is expected there, on the declared time. */
export function expectedMs(
  { step, remoteFactor }: Pick<PlacementNeed, "step" | "remoteFactor">,
  worker: Worker,
): number {
  const { report } = worker;
  if (report === undefined) return Infinity;
  const isRemote = step.rack !== "" && !report.labels.includes(step.rack);
  return step.estimateMs * report.slowness * (isRemote ? remoteFactor : 1);
}

export function choosePlace(
  workers: Iterable<Worker>,
  need: PlacementNeed,
): Worker | undefined {
  let best: Worker | undefined;
  let bestCost = Infinity;
  for (const worker of workers) {
    if (!isCandidate(worker, need)) continue;
    const endsInMs = expectedMs(need, worker);
    if (need.endBy !== undefined && need.now + endsInMs > need.endBy) continue;
    const spread = 1 + EQUAL_SHARE * need.random() +
      LOAD_SHARE * usedShare(worker);
    const cost = endsInMs * spread;
    if (cost >= bestCost) continue;
    best = worker;
    bestCost = cost;
  }
  return best;
}

/** Part of the server's cores that are taken, from 0 to 1. */
function usedShare({ report, room }: Worker): number {
  if (report === undefined || room === undefined) return 1;
  return 1 - room.cpu / Math.max(1, report.capacity.cpu);
}

function isCandidate(worker: Worker, need: PlacementNeed): boolean {
  const { report, room } = worker;
  if (report === undefined || room === undefined) return false;
  if (!report.isOpen || report.service !== need.service) return false;
  if (need.now < worker.pausedUntil || need.avoid.has(report.id)) return false;
  if (report.isSuspect && !need.mayUseSuspects) return false;
  if (!fits(need.step.resources, room)) return false;
  if (!hasLabel(need.step, report.labels)) return false;
  const { maxPerServer } = need.step;
  return maxPerServer === 0 || need.countOnServer(report.id) < maxPerServer;
}

/** True when a server of this size and kind could run a task of the step. */
export function couldRun(
  step: Step,
  server: { readonly capacity: Resources; readonly labels: readonly string[] },
): boolean {
  return fits(step.resources, server.capacity) && hasLabel(step, server.labels);
}

function hasLabel(step: Step, labels: readonly string[]): boolean {
  return step.requiredLabel === "" || labels.includes(step.requiredLabel);
}
