/**
 * Places waiting jobs in scheduling order on the servers with the earliest
 * expected completion, and refuses jobs that would complete too late.
 */
import type { Offer } from "@coltsfootreach/run";
import type { DispatchDecision, SessionId } from "./effect.ts";
import {
  countOnServer,
  type LiveJob,
  type LiveTask,
  waitingTasks,
} from "./live_job.ts";
import {
  isLate,
  latestUsefulStart,
  orderJobs,
  type RankedJob,
} from "./order.ts";
import { chooseWorker, isCapable } from "./placement.ts";
import { predictWaitMs } from "./refusal.ts";
import { isHeldBack, type LateReserve } from "./reserve.ts";
import {
  addOffer,
  hasOpenServer,
  release,
  reserve,
  type Worker,
} from "./workers.ts";

/** Limit of the predicted wait, and therefore of Retry-After. */
const MAX_WAIT_MS = 5000;

/**
 * Urgent jobs that arrive later are placed before late ones, so late jobs wait
 * longer than the work queued ahead of them suggests.
 */
const LATE_WAIT_FACTOR = 1.5;

export interface PlacerOptions {
  readonly workers: ReadonlyMap<SessionId, Worker>;
  /** Run time factor for tasks placed outside the rack with their data. */
  readonly remoteFactor: number;
  /** Returns a number from 0 to 1. */
  random(): number;
  /** Ratio of actual to declared run time on a healthy server. */
  slowness(): number;
  readonly lateReserve: LateReserve;
  /** Number of entries that share the servers, including this one. */
  entries(): number;
  /** Whether this entry is still discovering servers after its start. */
  isStarting(now: number): boolean;
  /** Refuses a job of which no task was offered. */
  refuse(live: LiveJob, retryAfterMs: number, now: number): void;
  log(decision: DispatchDecision): void;
}

export interface Placer {
  /** Offers tasks that fit, and refuses jobs that would be placed too late. */
  place(jobs: Iterable<LiveJob>, now: number): void;
  /** Total number of offers made. */
  offers(): number;
}

interface Placement {
  readonly task: LiveTask;
  readonly worker: Worker;
}

/** Placements of the job that are planned but not offered yet. */
interface PlanState {
  readonly placements: readonly Placement[];
  readonly now: number;
}

const NO_SERVERS: ReadonlySet<string> = new Set();

interface Plan {
  readonly placements: readonly Placement[];
  /** Core-milliseconds that did not fit. */
  readonly unplacedWork: number;
}

export function createPlacer(options: PlacerOptions): Placer {
  const { workers, slowness } = options;
  let offers = 0;

  function place(jobs: Iterable<LiveJob>, now: number): void {
    const waiting: LiveJob[] = [];
    for (const live of jobs) {
      if (!live.isAnswered && waitingTasks(live).length > 0) waiting.push(live);
    }
    if (waiting.length === 0) return;
    let workAhead = 0;
    const order = orderJobs(waiting, { now, slowness: slowness() });
    for (const ranked of order) {
      workAhead += placeJob(ranked, workAhead, now);
    }
  }

  /**
   * Offers the tasks that fit and returns the core-milliseconds that do not. A
   * job that has not started is refused instead if its remaining tasks are
   * predicted to complete too late to be of use.
   */
  function placeJob(ranked: RankedJob, workAhead: number, now: number): number {
    const { live } = ranked;
    const { placements, unplacedWork } = planJob(ranked, now);
    if (
      !live.mayHaveRun && !admitOrRefuse(ranked, workAhead + unplacedWork, now)
    ) {
      for (const { task, worker } of placements) {
        release(worker, task.step.resources);
      }
      return 0;
    }
    for (const placement of placements) offer(live, placement, now);
    return unplacedWork;
  }

  /** Reserves capacity for as many waiting tasks as fit. */
  function planJob(ranked: RankedJob, now: number): Plan {
    const placements: Placement[] = [];
    let unplacedWork = 0;
    const tasks = waitingTasks(ranked.live);
    if (isHeldBack(ranked, workers.values(), options.lateReserve)) {
      return { placements, unplacedWork: sumOf(tasks, expectedWork) };
    }
    for (const task of tasks) {
      const worker = chooseWorkerFor(ranked, task, { placements, now });
      if (worker === undefined) {
        unplacedWork += expectedWork(task);
        continue;
      }
      reserve(worker, task.step.resources);
      placements.push({ task, worker });
    }
    return { placements, unplacedWork };
  }

  /**
   * Refuses a job whose tasks are predicted to be placed too late. A job that
   * would miss its deadline is kept only if its answer is still likely to be of
   * use.
   */
  function admitOrRefuse(
    ranked: RankedJob,
    work: number,
    now: number,
  ): boolean {
    const { live } = ranked;
    // The servers known so far say little about the capacity of the fleet.
    if (options.isStarting(now) || !hasOpenServer(workers)) return true;
    const waitMs = predictWaitMs(
      { work, rate: availableCpuRate() },
      MAX_WAIT_MS,
    );
    const slackMs = ranked.latestStart - now;
    if (waitMs <= slackMs) return true;
    const lateSlackMs = latestUsefulStart(live, slowness()) - now;
    if (waitMs * LATE_WAIT_FACTOR <= lateSlackMs) return true;
    options.log({
      message: "refusing job: predicted queue wait is too long",
      job: live.job.id,
      queue: live.queue.name,
      figures: {
        waitMs: Math.round(waitMs),
        slackMs: Math.round(slackMs),
        lateSlackMs: Math.round(lateSlackMs),
        work: Math.round(work),
      },
    });
    options.refuse(live, waitMs - Math.max(0, slackMs), now);
    return false;
  }

  /** This entry's share of the fleet, in core-milliseconds per millisecond. */
  function availableCpuRate(): number {
    let cpu = 0;
    for (const { report } of workers.values()) {
      if (report?.isOpen && !report.isSuspect) cpu += report.capacity.cpu;
    }
    return cpu / 1000 / Math.max(1, options.entries());
  }

  function chooseWorkerFor(
    ranked: RankedJob,
    task: LiveTask,
    { placements, now }: PlanState,
  ): Worker | undefined {
    const { live } = ranked;
    const subsequentMs = live.remainingPathMs[task.ref.step]! -
      task.step.estimateMs;
    const request = {
      endBy: isLate(ranked)
        ? undefined
        : live.dueAt - subsequentMs * slowness(),
      step: task.step,
      service: live.queue.service,
      remoteFactor: options.remoteFactor,
      now,
      excludedServers: task.avoidedServers,
      isSuspectAllowed: task.failures === 0 && live.queue.attempts > 1,
      countOnServer: (server: string) =>
        countOnServer(live, task.ref.step, server) +
        countPlanned(placements, { step: task.ref.step, server }),
      random: options.random,
    };
    const preferred = chooseWorker(workers.values(), request);
    if (preferred !== undefined || hasPreferredServer(live, task)) {
      return preferred;
    }
    return chooseWorker(workers.values(), {
      ...request,
      excludedServers: NO_SERVERS,
      isSuspectAllowed: true,
    });
  }

  /** Whether a capable server is neither avoided by the task nor suspect. */
  function hasPreferredServer(live: LiveJob, task: LiveTask): boolean {
    for (const { report } of workers.values()) {
      if (report?.service !== live.queue.service || !report.isOpen) continue;
      if (report.isSuspect || task.avoidedServers.has(report.id)) continue;
      if (isCapable(task.step, report)) return true;
    }
    return false;
  }

  function offer(
    live: LiveJob,
    { task, worker }: Placement,
    now: number,
  ): void {
    const { report } = worker;
    if (report === undefined) return;
    task.run += 1;
    task.state = "placed";
    task.session = worker.session;
    task.side = worker.side;
    task.server = report.id;
    task.placedAt = now;
    live.mayHaveRun = true;
    live.firstOfferedAt ??= now;
    offers += 1;
    const offered: Offer = {
      task: task.ref,
      run: task.run,
      payload: live.job.payload,
      resources: task.step.resources,
      estimateMs: task.step.estimateMs,
      server: report.id,
      born: report.born,
    };
    addOffer(worker, offered, now);
  }

  /** Core-milliseconds on a healthy server. */
  function expectedWork(task: LiveTask): number {
    return task.step.estimateMs * slowness() *
      task.step.resources.cpu / 1000;
  }

  return { place, offers: () => offers };
}

/** Counts the tasks of a step that the plan puts on a server. */
function countPlanned(
  placements: readonly Placement[],
  { step, server }: { readonly step: number; readonly server: string },
): number {
  let count = 0;
  for (const { task, worker } of placements) {
    if (task.ref.step === step && worker.report?.id === server) count += 1;
  }
  return count;
}

function sumOf<T>(items: readonly T[], valueOf: (item: T) => number): number {
  return items.reduce((sum, item) => sum + valueOf(item), 0);
}
