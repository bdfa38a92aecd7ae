/**
 * Finds tasks that no worker can ever run, so that their job is answered at
 * once and does not wait for its deadline.
 */
import {
  type ComputeResources,
  hasCapacityFor,
  type Job,
  type ParsedConfiguration,
} from "@coltsfootreach/types";
import type { SideState } from "./sides.ts";

/** How long the list of worker sizes is used before it is made anew. */
const REFRESH_MS = 1000;

export interface FitOptions {
  /** Sides that this entry knows. */
  sides(): Iterable<SideState>;
  /** The estate in force, if any. */
  estate(): ParsedConfiguration | undefined;
}

export interface Fit {
  /**
   * Why a job can never run; undefined when it may. Nothing is said while
   * neither a side nor an inventory is known.
   */
  findMisfit(job: Job, nowMs: number): string | undefined;
}

export function createFit(options: FitOptions): Fit {
  let offers: readonly ComputeResources[] = [];
  let madeAtMs = -Infinity;

  function refresh(nowMs: number): void {
    madeAtMs = nowMs;
    offers = knownSizes(options.sides(), options.estate());
  }

  function findIndex(job: Job): number {
    return job.tasks.findIndex(({ size }) =>
      !offers.some((offer) => hasCapacityFor(offer, size))
    );
  }

  return {
    findMisfit(job, nowMs) {
      if (nowMs - madeAtMs > REFRESH_MS) refresh(nowMs);
      if (findIndex(job) < 0) return undefined;
      // A worker that has just come may be missing from the list.
      refresh(nowMs);
      const index = findIndex(job);
      if (index < 0 || offers.length === 0) return undefined;
      return describe(job.tasks[index]!.size, index);
    },
  };
}

function describe(size: ComputeResources, index: number): string {
  const { cores, memoryMb, accelerators } = size;
  return `task ${index} fits no worker: it needs ${cores} cores, ` +
    `${memoryMb} MB and ${accelerators} accelerators`;
}

/** The distinct sizes of workers, whether they are live or expected. */
function knownSizes(
  sides: Iterable<SideState>,
  estate: ParsedConfiguration | undefined,
): readonly ComputeResources[] {
  const sizes = new Map<string, ComputeResources>();
  const add = ({ cores, memoryMb, accelerators }: ComputeResources) =>
    sizes.set(`${cores}/${memoryMb}/${accelerators}`, {
      cores,
      memoryMb,
      accelerators,
    });
  for (const side of sides) {
    if (!side.lost && side.announcement !== undefined) {
      add(side.announcement.size);
    }
  }
  estate?.workers.forEach(add);
  return [...sizes.values()];
}
