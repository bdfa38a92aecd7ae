/**
 * What an entry believes of a side between the side's own words. The starts of
 * other entries are known only as of the last frame; with its age the belief
 * returns to what the others have held there on average.
 */
import type { Candidate } from "./policy.ts";

export interface SideEstimates {
  /** Tasks that the side holds now, over all entries. */
  busy(candidate: Candidate, nowMs: number): Belief;
  /** Mean slot time of the tasks that have run on the side. */
  meanRunMs(side: string): number;
  observeRun(side: string, runMs: number): void;
  forget(side: string): void;
}

/** A number that is known within a variance. */
export interface Belief {
  readonly mean: number;
  readonly variance: number;
}

interface SideEstimate {
  /** Mean of the tasks that other entries held, over frames. */
  others: number;
  loadAtMs: number;
  meanRunMs: number;
}

/** Weight of a new frame in the mean of what others hold. */
const OTHERS_GAIN = 0.05;

/** Weight of a new run in the mean run time. */
const RUN_GAIN = 0.05;

/** Mean run time that is assumed before any run was seen. */
const DEFAULT_RUN_MS = 300;

/** Tasks of other entries on a side at its last word. */
function reportedOthers({ load, outstandingAtLoad }: Candidate): number {
  return Math.max(0, load.running + load.queued - outstandingAtLoad);
}

export function createSideEstimates(): SideEstimates {
  const estimates = new Map<string, SideEstimate>();

  function estimateOf(candidate: Candidate): SideEstimate {
    let estimate = estimates.get(candidate.side);
    if (estimate === undefined) {
      estimate = {
        others: reportedOthers(candidate),
        loadAtMs: candidate.loadAtMs,
        meanRunMs: DEFAULT_RUN_MS,
      };
      estimates.set(candidate.side, estimate);
    }
    if (estimate.loadAtMs !== candidate.loadAtMs) {
      estimate.loadAtMs = candidate.loadAtMs;
      estimate.others += OTHERS_GAIN *
        (reportedOthers(candidate) - estimate.others);
    }
    return estimate;
  }

  return {
    busy(candidate, nowMs) {
      const estimate = estimateOf(candidate);
      const reported = reportedOthers(candidate);
      const ageMs = Math.max(0, nowMs - candidate.loadAtMs);
      const kept = Math.exp(-ageMs / estimate.meanRunMs);
      const others = estimate.others + (reported - estimate.others) * kept;
      return {
        mean: candidate.outstanding + others,
        variance: others * (1 - kept * kept),
      };
    },

    meanRunMs(side) {
      return estimates.get(side)?.meanRunMs ?? DEFAULT_RUN_MS;
    },

    observeRun(side, runMs) {
      const estimate = estimates.get(side);
      if (estimate === undefined) return;
      estimate.meanRunMs += RUN_GAIN * (runMs - estimate.meanRunMs);
    },

    forget(side) {
      estimates.delete(side);
    },
  };
}
