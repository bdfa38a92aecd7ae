/**
 * Capacity that late jobs leave free. Under a burst, or when all callers
 * resubmit after an outage, many waiting jobs are already late. If these took
 * every core that becomes free, the jobs that arrive next and could still be in
 * time would find all servers full for as long as the late ones run, and become
 * late in turn.
 */
import type { LiveJob } from "./live_job.ts";
import { isLate, type RankedJob } from "./order.ts";
import type { Worker } from "./workers.ts";

/** Shares of all cores that late jobs leave free, from 0 to 1. */
export interface LateReserve {
  /** For late jobs of which no task was offered. */
  readonly unstarted: number;
  /** For late jobs that have started and whose work would be wasted. */
  readonly started: number;
}

export const LATE_RESERVE: LateReserve = { unstarted: 0.25, started: 0.1 };

/** Late jobs compete for all cores, as jobs in time do. */
export const NO_RESERVE: LateReserve = { unstarted: 0, started: 0 };

/** Whether the job is late and would use cores of the reserve. */
export function isHeldBack(
  ranked: RankedJob,
  workers: Iterable<Worker>,
  reserve: LateReserve,
): boolean {
  if (!isLate(ranked)) return false;
  const { live } = ranked;
  const share = live.mayHaveRun ? reserve.started : reserve.unstarted;
  const cores = sumCores(workers, live.queue.service);
  // Even a job wider than the unreserved cores may start on an idle fleet.
  const needed = Math.min(waitingCpu(live), cores.total * (1 - share));
  return cores.free - needed < cores.total * share;
}

/** Cores of the open servers of a service, in thousandths. */
function sumCores(
  workers: Iterable<Worker>,
  service: string,
): { readonly total: number; readonly free: number } {
  let total = 0;
  let free = 0;
  for (const { report, room } of workers) {
    if (!report?.isOpen || report.service !== service) continue;
    total += report.capacity.cpu;
    free += room?.cpu ?? 0;
  }
  return { total, free };
}

/** Cores that the waiting tasks would use, in thousandths. */
function waitingCpu(live: LiveJob): number {
  let cpu = 0;
  for (const task of live.tasks) {
    if (task.state === "waiting") cpu += task.step.resources.cpu;
  }
  return cpu;
}
