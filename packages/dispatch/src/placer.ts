/**
 * Gives room to the jobs that wait: in order, on the servers where their tasks
 * are expected to end soonest, and not at all where that would come too late.
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
import { choosePlace, couldRun } from "./placement.ts";
import { foretellWaitMs } from "./refusal.ts";
import {
  addOffer,
  hasOpenServer,
  release,
  reserve,
  type Worker,
} from "./workers.ts";

/** Longest wait that is foretold, and so the longest Retry-After. */
const LONGEST_WAIT_MS = 5000;

/**
 * Urgent jobs that come later go before late ones, so these wait longer than
 * the work ahead of them foretells.
 */
const LATE_CAUTION = 1.5;

export interface PlacerOptions {
  readonly workers: ReadonlyMap<SessionId, Worker>;
  /** A task takes this much longer away from the rack with its data. */
  readonly remoteFactor: number;
  /** Number from 0 to 1. */
  random(): number;
  /** Run time over declared time on a sound server. */
  slowness(): number;
  /** Entries that share the servers, this one included. */
  entries(): number;
  /** True while servers are still to be found. */
  isStarting(now: number): boolean;
  /** Turns a job away of which nothing was offered. */
  refuse(live: LiveJob, retryAfterMs: number, now: number): void;
  log(decision: DispatchDecision): void;
}

export interface Placer {
  /** Offers what finds room, and refuses what would find it too late. */
  place(jobs: Iterable<LiveJob>, now: number): void;
  /** Offers made so far. */
  offers(): number;
}

interface Placement {
  readonly task: LiveTask;
  readonly worker: Worker;
}

const NO_SERVERS: ReadonlySet<string> = new Set();

interface Plan {
  readonly placements: readonly Placement[];
  /** Core-milliseconds for which there is no room. */
  readonly workLeft: number;
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
   * Offers what finds room and returns the core-milliseconds that do not. A job
   * is not begun, and is refused, when its rest is foretold to come too late to
   * be of use.
   */
  function placeJob(ranked: RankedJob, workAhead: number, now: number): number {
    const { live } = ranked;
    const { placements, workLeft } = planJob(ranked, now);
    if (!live.mayHaveRun && !isOfUse(ranked, workAhead + workLeft, now)) {
      for (const { task, worker } of placements) {
        release(worker, task.step.resources);
      }
      return 0;
    }
    for (const placement of placements) offer(live, placement, now);
    return workLeft;
  }

  /** Reserves room for the tasks that wait, as far as there is any. */
  function planJob(ranked: RankedJob, now: number): Plan {
    const placements: Placement[] = [];
    let workLeft = 0;
    for (const task of waitingTasks(ranked.live)) {
      const worker = chooseFor(ranked, task, now);
      if (worker === undefined) {
        workLeft += workOf(task);
        continue;
      }
      reserve(worker, task.step.resources);
      placements.push({ task, worker });
    }
    return { placements, workLeft };
  }

  /**
   * Refuses a job whose tasks are foretold to find room too late. One that would
   * be late is kept only while it is likely to be answered while that is of use.
   */
  function isOfUse(ranked: RankedJob, work: number, now: number): boolean {
    const { live } = ranked;
    // What is known of the fleet then says little about its room.
    if (options.isStarting(now) || !hasOpenServer(workers)) return true;
    const waitMs = foretellWaitMs({ work, rate: roomRate() }, LONGEST_WAIT_MS);
    const slackMs = ranked.latestStart - now;
    if (waitMs <= slackMs) return true;
    const lateSlackMs = latestUsefulStart(live, slowness()) - now;
    if (waitMs * LATE_CAUTION <= lateSlackMs) return true;
    options.log({
      message: "wait foretold",
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

  /** Core-milliseconds a millisecond that this entry can count on. */
  function roomRate(): number {
    let cpu = 0;
    for (const { report } of workers.values()) {
      if (report?.isOpen && !report.isSuspect) cpu += report.capacity.cpu;
    }
    return cpu / 1000 / Math.max(1, options.entries());
  }

  function chooseFor(
    ranked: RankedJob,
    task: LiveTask,
    now: number,
  ): Worker | undefined {
    const { live } = ranked;
    const afterMs = live.chainMs[task.ref.step]! - task.step.estimateMs;
    const need = {
      endBy: isLate(ranked) ? undefined : live.dueAt - afterMs * slowness(),
      step: task.step,
      service: live.queue.service,
      remoteFactor: options.remoteFactor,
      now,
      avoid: task.avoid,
      mayUseSuspects: task.failures === 0 && live.queue.attempts > 1,
      countOnServer: (server: string) =>
        countOnServer(live, task.ref.step, server),
      random: options.random,
    };
    const place = choosePlace(workers.values(), need);
    if (place !== undefined || hasUnspoiltPlace(live, task)) return place;
    return choosePlace(workers.values(), {
      ...need,
      avoid: NO_SERVERS,
      mayUseSuspects: true,
    });
  }

  /** True while some server that could run the task is neither avoided nor suspect. */
  function hasUnspoiltPlace(live: LiveJob, task: LiveTask): boolean {
    for (const { report } of workers.values()) {
      if (report?.service !== live.queue.service || !report.isOpen) continue;
      if (report.isSuspect || task.avoid.has(report.id)) continue;
      if (couldRun(task.step, report)) return true;
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
    task.server = report.id;
    task.placedAt = now;
    live.mayHaveRun = true;
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

  function workOf(task: LiveTask): number {
    return task.step.estimateMs * slowness() *
      task.step.resources.cpu / 1000;
  }

  return { place, offers: () => offers };
}
