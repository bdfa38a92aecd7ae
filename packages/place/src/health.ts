/**
 * Outlier detection: ejects sides that fail too many of the tasks they start. A
 * side that fails tasks immediately appears idle and would attract more tasks,
 * so ejection depends on the failure ratio and not on the load. An ejected side
 * gets no tasks during its probation, and then a single trial task: success
 * readmits the side, failure doubles the probation. Failures that occur on all
 * sides alike, such as those of a tenant's broken tasks, eject no side.
 */
import type { AutomaticAction, Rules } from "@coltsfootreach/types";

/** Whether a side may get any task, one trial task, or none. */
export type EjectionState = "in" | "trial" | "out";

export interface OutlierDetector {
  /** Records the outcome of a started task; returns the resulting action. */
  observe(outcome: TaskOutcome, nowMs: number): AutomaticAction | undefined;
  ejectionState(side: string, nowMs: number): EjectionState;
  /** Marks a trial task as sent; the side gets no other task until it ends. */
  startTrial(side: string, nowMs: number): void;
  /** Allows another trial task because the previous one was not run. */
  cancelTrial(side: string): void;
  /** Ends the ejection of a side at an operator's request. */
  readmit(side: string): void;
  /** Share of a side's recent tasks that failed, 0 to 1. */
  failureRatio(side: string): number;
  /** Currently ejected sides. */
  ejected(): readonly string[];
  forget(side: string): void;
}

export interface TaskOutcome {
  readonly side: string;
  readonly failed: boolean;
}

export interface OutlierDetectorOptions {
  /** The current rules and the version of their configuration. */
  readonly rules: () => OutlierDetectorRules;
  /** Number of live sides, including ejected ones. */
  readonly sides: () => number;
  /** Generates the identifier of an action. */
  readonly nextId: () => string;
}

export interface OutlierDetectorRules
  extends
    Pick<Rules, "held" | "ejectFailureRatio" | "ejectAtMost" | "probationMs"> {
  readonly configurationVersion: number;
}

/** Minimum number of ended tasks before a side can be ejected. */
const MIN_OUTCOMES = 8;

/** Number of latest outcomes kept per side. */
const MAX_OUTCOMES = 16;

/** Time without a new outcome after which a side's outcomes are discarded. */
const OUTCOME_EXPIRY_MS = 60_000;

/** Minimum ratio of a side's failure ratio to that of the other sides. */
const MIN_RATIO_TO_OTHERS = 2;

/** Maximum number of times a probation is doubled. */
const MAX_PROBATION_DOUBLINGS = 5;

/** The latest outcomes of a side, newest first; true means failure. */
interface OutcomeWindow {
  outcomes: readonly boolean[];
  atMs: number;
}

interface Ejection {
  readonly act: AutomaticAction;
  readonly doublings: number;
  readonly untilMs: number;
  isTrialRunning: boolean;
}

function recordOutcome(
  window: OutcomeWindow,
  failed: boolean,
  nowMs: number,
): void {
  const isStale = nowMs - window.atMs > OUTCOME_EXPIRY_MS;
  const earlier = isStale ? [] : window.outcomes;
  window.outcomes = [failed, ...earlier.slice(0, MAX_OUTCOMES - 1)];
  window.atMs = nowMs;
}

function countFailures({ outcomes }: OutcomeWindow): number {
  return outcomes.reduce((sum, failed) => sum + (failed ? 1 : 0), 0);
}

/** Failures per ended task. */
function failureRatioOf(windows: readonly OutcomeWindow[]): number {
  let ended = 0;
  let failures = 0;
  for (const window of windows) {
    ended += window.outcomes.length;
    failures += countFailures(window);
  }
  return ended === 0 ? 0 : failures / ended;
}

export function createOutlierDetector(
  options: OutlierDetectorOptions,
): OutlierDetector {
  const { rules, sides, nextId } = options;
  const windows = new Map<string, OutcomeWindow>();
  const ejections = new Map<string, Ejection>();

  function windowOf(side: string, nowMs: number): OutcomeWindow {
    let window = windows.get(side);
    if (window === undefined) {
      window = { outcomes: [], atMs: nowMs };
      windows.set(side, window);
    }
    return window;
  }

  function failureRatioOfOthers(own: OutcomeWindow): number {
    return failureRatioOf(
      [...windows.values()].filter((window) => window !== own),
    );
  }

  function isEjectionDue(window: OutcomeWindow): boolean {
    const { held, ejectFailureRatio, ejectAtMost } = rules();
    if (held.includes("eject")) return false;
    if (window.outcomes.length < MIN_OUTCOMES) return false;
    if (ejections.size + 1 > ejectAtMost * sides()) return false;
    const ratio = failureRatioOf([window]);
    return ratio >= ejectFailureRatio &&
      ratio >= MIN_RATIO_TO_OTHERS * failureRatioOfOthers(window);
  }

  function eject(
    side: string,
    window: OutcomeWindow,
    nowMs: number,
  ): AutomaticAction {
    const { configurationVersion, ejectFailureRatio, probationMs } = rules();
    const action: AutomaticAction = {
      id: nextId(),
      kind: "eject",
      subject: side,
      why: "it failed too large a share of the tasks it started",
      figures: {
        failureRatio: failureRatioOf([window]),
        ended: window.outcomes.length,
        failureRatioOfOthers: failureRatioOfOthers(window),
        ejectFailureRatio,
        ejected: ejections.size + 1,
        sides: sides(),
      },
      configurationVersion,
      atMs: nowMs,
    };
    const untilMs = nowMs + probationMs;
    ejections.set(side, {
      act: action,
      doublings: 0,
      untilMs,
      isTrialRunning: false,
    });
    return action;
  }

  function extendProbation(
    side: string,
    ejection: Ejection,
    nowMs: number,
  ): void {
    const doublings = Math.min(MAX_PROBATION_DOUBLINGS, ejection.doublings + 1);
    const untilMs = nowMs + rules().probationMs * 2 ** doublings;
    ejections.set(side, {
      act: ejection.act,
      doublings,
      untilMs,
      isTrialRunning: false,
    });
  }

  function readmitAfterTrial(
    side: string,
    ejection: Ejection,
    nowMs: number,
  ): AutomaticAction {
    ejections.delete(side);
    windows.delete(side);
    return {
      id: nextId(),
      kind: "readmit",
      subject: side,
      why: "its trial task was complete",
      figures: {
        outMs: nowMs - ejection.act.atMs,
        doublings: ejection.doublings,
      },
      configurationVersion: rules().configurationVersion,
      atMs: nowMs,
    };
  }

  /** Ignores outcomes of tasks that were running when the side was ejected. */
  function observeEjected(
    ejection: Ejection,
    { side, failed }: TaskOutcome,
    nowMs: number,
  ): AutomaticAction | undefined {
    if (!ejection.isTrialRunning) return undefined;
    if (!failed) return readmitAfterTrial(side, ejection, nowMs);
    extendProbation(side, ejection, nowMs);
    return undefined;
  }

  return {
    observe(outcome, nowMs) {
      const ejection = ejections.get(outcome.side);
      if (ejection !== undefined) {
        return observeEjected(ejection, outcome, nowMs);
      }
      const window = windowOf(outcome.side, nowMs);
      recordOutcome(window, outcome.failed, nowMs);
      if (!outcome.failed || !isEjectionDue(window)) return undefined;
      return eject(outcome.side, window, nowMs);
    },

    failureRatio(side) {
      const window = windows.get(side);
      return window === undefined ? 0 : failureRatioOf([window]);
    },

    ejectionState(side, nowMs) {
      const ejection = ejections.get(side);
      if (ejection === undefined) return "in";
      if (ejection.isTrialRunning || nowMs < ejection.untilMs) return "out";
      return rules().held.includes("readmit") ? "out" : "trial";
    },

    startTrial(side, nowMs) {
      const ejection = ejections.get(side);
      if (ejection === undefined || nowMs < ejection.untilMs) return;
      ejection.isTrialRunning = true;
    },

    cancelTrial(side) {
      const ejection = ejections.get(side);
      if (ejection !== undefined) ejection.isTrialRunning = false;
    },

    readmit(side) {
      ejections.delete(side);
      windows.delete(side);
    },

    ejected() {
      return [...ejections.keys()];
    },

    forget(side) {
      ejections.delete(side);
      windows.delete(side);
    },
  };
}
