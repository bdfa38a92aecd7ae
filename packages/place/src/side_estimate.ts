/**
 * Estimates the load of a side between its load reports. Tasks started by other
 * entries are known only as of the latest report; as the report ages, their
 * estimate decays to their long-term mean on that side.
 */
import type { Candidate } from "./policy.ts";

export interface SideEstimates {
  /** Estimated current number of tasks on the side, from all entries. */
  busy(candidate: Candidate, nowMs: number): Estimate;
  /** Mean run time of the tasks that ran on the side. */
  meanRunMs(side: string): number;
  observeRun(side: string, runMs: number): void;
  forget(side: string): void;
}

/** An estimated value and its variance. */
export interface Estimate {
  readonly mean: number;
  readonly variance: number;
}

interface SideStatistics {
  /** Moving average over load reports of the tasks from other entries. */
  meanOtherTasks: number;
  loadAtMs: number;
  meanRunMs: number;
}

/** Weight of a new load report in the average of other entries' tasks. */
const OTHER_TASKS_SMOOTHING = 0.05;

/** Weight of a new run in the moving average of run times. */
const RUN_TIME_SMOOTHING = 0.05;

/** Mean run time assumed before the first observed run. */
const DEFAULT_RUN_MS = 300;

/** Tasks of other entries on a side, as of its latest load report. */
function reportedOtherTasks({ load, outstandingAtLoad }: Candidate): number {
  return Math.max(0, load.running + load.queued - outstandingAtLoad);
}

export function createSideEstimates(): SideEstimates {
  const statisticsBySide = new Map<string, SideStatistics>();

  function statisticsOf(candidate: Candidate): SideStatistics {
    let statistics = statisticsBySide.get(candidate.side);
    if (statistics === undefined) {
      statistics = {
        meanOtherTasks: reportedOtherTasks(candidate),
        loadAtMs: candidate.loadAtMs,
        meanRunMs: DEFAULT_RUN_MS,
      };
      statisticsBySide.set(candidate.side, statistics);
    }
    if (statistics.loadAtMs !== candidate.loadAtMs) {
      statistics.loadAtMs = candidate.loadAtMs;
      statistics.meanOtherTasks += OTHER_TASKS_SMOOTHING *
        (reportedOtherTasks(candidate) - statistics.meanOtherTasks);
    }
    return statistics;
  }

  return {
    busy(candidate, nowMs) {
      const statistics = statisticsOf(candidate);
      const reported = reportedOtherTasks(candidate);
      const ageMs = Math.max(0, nowMs - candidate.loadAtMs);
      const reportWeight = Math.exp(-ageMs / statistics.meanRunMs);
      const otherTasks = statistics.meanOtherTasks +
        (reported - statistics.meanOtherTasks) * reportWeight;
      return {
        mean: candidate.outstanding + otherTasks,
        variance: otherTasks * (1 - reportWeight * reportWeight),
      };
    },

    meanRunMs(side) {
      return statisticsBySide.get(side)?.meanRunMs ?? DEFAULT_RUN_MS;
    },

    observeRun(side, runMs) {
      const statistics = statisticsBySide.get(side);
      if (statistics === undefined) return;
      statistics.meanRunMs += RUN_TIME_SMOOTHING *
        (runMs - statistics.meanRunMs);
    },

    forget(side) {
      statisticsBySide.delete(side);
    },
  };
}
