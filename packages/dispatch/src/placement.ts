/**
 * Selects the backend server for a task: the one with the earliest expected
 * completion among those with free capacity.
 */
import { fits, type Resources, type Step } from "@coltsfootreach/run";
import type { Worker } from "./workers.ts";

/**
 * Expected run times within this share of each other count as equal. Otherwise,
 * entries that share servers would all overload the fastest one at once.
 */
const TIE_TOLERANCE = 0.5;

/** Relative cost of a fully loaded server over an idle one. */
const LOAD_PENALTY = 0.5;

export interface PlacementRequest {
  readonly step: Step;
  readonly service: string;
  /** Run time factor for tasks placed outside the rack with their data. */
  readonly remoteFactor: number;
  readonly now: number;
  /** Servers that must not be selected. */
  readonly excludedServers: ReadonlySet<string>;
  /** Counts the tasks of the step already placed on a server. */
  countOnServer(server: string): number;
  /** Deadline of the task; undefined if the job will be late anyway. */
  readonly endBy: number | undefined;
  /** Whether a server with recent failures may be selected. */
  readonly isSuspectAllowed: boolean;
  /** Returns a number from 0 to 1, to break ties. */
  random(): number;
}

/** Estimates the run time on a server from the declared run time. */
export function expectedRunMs(
  { step, remoteFactor }: Pick<PlacementRequest, "step" | "remoteFactor">,
  worker: Worker,
): number {
  const { report } = worker;
  if (report === undefined) return Infinity;
  const isRemote = step.rack !== "" && !report.labels.includes(step.rack);
  return step.estimateMs * report.slowness * (isRemote ? remoteFactor : 1);
}

export function chooseWorker(
  workers: Iterable<Worker>,
  request: PlacementRequest,
): Worker | undefined {
  let best: Worker | undefined;
  let bestCost = Infinity;
  for (const worker of workers) {
    if (!isCandidate(worker, request)) continue;
    const runMs = expectedRunMs(request, worker);
    if (request.endBy !== undefined && request.now + runMs > request.endBy) {
      continue;
    }
    const weight = 1 + TIE_TOLERANCE * request.random() +
      LOAD_PENALTY * cpuUtilization(worker);
    const cost = runMs * weight;
    if (cost >= bestCost) continue;
    best = worker;
    bestCost = cost;
  }
  return best;
}

/** Share of the server's cores in use, from 0 to 1. */
function cpuUtilization({ report, room }: Worker): number {
  if (report === undefined || room === undefined) return 1;
  return 1 - room.cpu / Math.max(1, report.capacity.cpu);
}

function isCandidate(worker: Worker, request: PlacementRequest): boolean {
  const { report, room } = worker;
  if (report === undefined || room === undefined) return false;
  if (!report.isOpen || report.service !== request.service) return false;
  if (
    request.now < worker.backoffUntil || request.excludedServers.has(report.id)
  ) return false;
  if (report.isSuspect && !request.isSuspectAllowed) return false;
  if (!fits(request.step.resources, room)) return false;
  if (!hasRequiredLabel(request.step, report.labels)) return false;
  const { maxPerServer } = request.step;
  return maxPerServer === 0 || request.countOnServer(report.id) < maxPerServer;
}

/** Whether an idle server of this capacity and labels can run the step. */
export function isCapable(
  step: Step,
  server: { readonly capacity: Resources; readonly labels: readonly string[] },
): boolean {
  return fits(step.resources, server.capacity) &&
    hasRequiredLabel(step, server.labels);
}

function hasRequiredLabel(step: Step, labels: readonly string[]): boolean {
  return step.requiredLabel === "" || labels.includes(step.requiredLabel);
}
