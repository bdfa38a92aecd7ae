/**
 * Ejects sides that fail what they start. A side that fails at once looks idle
 * and would draw work, so its failure ratio decides and not its load. An
 * ejected side is out for a probation time, then gets a single trial task whose
 * outcome readmits it or keeps it out for twice as long. Failures that all
 * sides share, for example of one tenant's broken tasks, eject nobody.
 */
import type { AutomaticAction, Rules } from "@coltsfootreach/types";

/** Whether a side may take a task: any, one trial task, or none. */
export type Standing = "in" | "trial" | "out";

export interface Health {
  /** Takes in how a started task ended; returns what was done about it. */
  observe(outcome: Outcome, nowMs: number): AutomaticAction | undefined;
  standing(side: string, nowMs: number): Standing;
  /** A trial task was sent; the side takes no other until it ends. */
  startTrial(side: string, nowMs: number): void;
  /** The trial task was not run, so the side may get another. */
  cancelTrial(side: string): void;
  /** Lets a side take work again on an operator's word. */
  readmit(side: string): void;
  /** Share of a side's recent tasks that failed, 0 to 1. */
  failureRatio(side: string): number;
  /** Sides that are ejected now. */
  ejected(): readonly string[];
  forget(side: string): void;
}

export interface Outcome {
  readonly side: string;
  readonly failed: boolean;
}

export interface HealthOptions {
  /** The rules in force and the version of the configuration they are from. */
  readonly rules: () => HealthRules;
  /** Sides that are live, ejected ones included. */
  readonly sides: () => number;
  /** Makes the identifier of an act. */
  readonly nextId: () => string;
}

export interface HealthRules
  extends
    Pick<Rules, "held" | "ejectFailureRatio" | "ejectAtMost" | "probationMs"> {
  readonly configurationVersion: number;
}

/** Ended tasks that a failure ratio must rest on. */
const MIN_SAMPLE = 8;

/** Latest outcomes of a side that are remembered. */
const MEMORY = 16;

/** Silence after which the outcomes of a side are forgotten. */
const MAX_SILENCE_MS = 60_000;

/** A side must fail this many times as often as the other sides do. */
const MIN_EXCESS = 2;

/** Most times a probation is doubled. */
const MAX_DOUBLINGS = 5;

/** The latest outcomes of a side, newest first; true stands for a failure. */
interface Tally {
  outcomes: readonly boolean[];
  atMs: number;
}

interface Ejection {
  readonly act: AutomaticAction;
  readonly doublings: number;
  readonly untilMs: number;
  trialUnderWay: boolean;
}

function count(tally: Tally, failed: boolean, nowMs: number): void {
  const isStale = nowMs - tally.atMs > MAX_SILENCE_MS;
  const earlier = isStale ? [] : tally.outcomes;
  tally.outcomes = [failed, ...earlier.slice(0, MEMORY - 1)];
  tally.atMs = nowMs;
}

function failuresOf({ outcomes }: Tally): number {
  return outcomes.reduce((sum, failed) => sum + (failed ? 1 : 0), 0);
}

/** Failures per ended task. */
function ratioOf(tallies: readonly Tally[]): number {
  let ended = 0;
  let failed = 0;
  for (const tally of tallies) {
    ended += tally.outcomes.length;
    failed += failuresOf(tally);
  }
  return ended === 0 ? 0 : failed / ended;
}

export function createHealth(options: HealthOptions): Health {
  const { rules, sides, nextId } = options;
  const tallies = new Map<string, Tally>();
  const ejections = new Map<string, Ejection>();

  function tallyOf(side: string, nowMs: number): Tally {
    let tally = tallies.get(side);
    if (tally === undefined) {
      tally = { outcomes: [], atMs: nowMs };
      tallies.set(side, tally);
    }
    return tally;
  }

  function ratioOfOthers(own: Tally): number {
    return ratioOf([...tallies.values()].filter((tally) => tally !== own));
  }

  function mayEject(tally: Tally): boolean {
    const { held, ejectFailureRatio, ejectAtMost } = rules();
    if (held.includes("eject")) return false;
    if (tally.outcomes.length < MIN_SAMPLE) return false;
    if (ejections.size + 1 > ejectAtMost * sides()) return false;
    const ratio = ratioOf([tally]);
    return ratio >= ejectFailureRatio &&
      ratio >= MIN_EXCESS * ratioOfOthers(tally);
  }

  function eject(side: string, tally: Tally, nowMs: number): AutomaticAction {
    const { configurationVersion, ejectFailureRatio, probationMs } = rules();
    const act: AutomaticAction = {
      id: nextId(),
      kind: "eject",
      subject: side,
      why: "it failed too large a share of the tasks it started",
      figures: {
        failureRatio: ratioOf([tally]),
        ended: tally.outcomes.length,
        failureRatioOfOthers: ratioOfOthers(tally),
        ejectFailureRatio,
        ejected: ejections.size + 1,
        sides: sides(),
      },
      configurationVersion,
      atMs: nowMs,
    };
    const untilMs = nowMs + probationMs;
    ejections.set(side, { act, doublings: 0, untilMs, trialUnderWay: false });
    return act;
  }

  function prolong(side: string, ejection: Ejection, nowMs: number): void {
    const doublings = Math.min(MAX_DOUBLINGS, ejection.doublings + 1);
    const untilMs = nowMs + rules().probationMs * 2 ** doublings;
    ejections.set(side, {
      act: ejection.act,
      doublings,
      untilMs,
      trialUnderWay: false,
    });
  }

  function readmitted(
    side: string,
    ejection: Ejection,
    nowMs: number,
  ): AutomaticAction {
    ejections.delete(side);
    tallies.delete(side);
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

  /** Outcomes of tasks that were under way at the ejection decide nothing. */
  function observeEjected(
    ejection: Ejection,
    { side, failed }: Outcome,
    nowMs: number,
  ): AutomaticAction | undefined {
    if (!ejection.trialUnderWay) return undefined;
    if (!failed) return readmitted(side, ejection, nowMs);
    prolong(side, ejection, nowMs);
    return undefined;
  }

  return {
    observe(outcome, nowMs) {
      const ejection = ejections.get(outcome.side);
      if (ejection !== undefined) {
        return observeEjected(ejection, outcome, nowMs);
      }
      const tally = tallyOf(outcome.side, nowMs);
      count(tally, outcome.failed, nowMs);
      if (!outcome.failed || !mayEject(tally)) return undefined;
      return eject(outcome.side, tally, nowMs);
    },

    failureRatio(side) {
      const tally = tallies.get(side);
      return tally === undefined ? 0 : ratioOf([tally]);
    },

    standing(side, nowMs) {
      const ejection = ejections.get(side);
      if (ejection === undefined) return "in";
      if (ejection.trialUnderWay || nowMs < ejection.untilMs) return "out";
      return rules().held.includes("readmit") ? "out" : "trial";
    },

    startTrial(side, nowMs) {
      const ejection = ejections.get(side);
      if (ejection === undefined || nowMs < ejection.untilMs) return;
      ejection.trialUnderWay = true;
    },

    cancelTrial(side) {
      const ejection = ejections.get(side);
      if (ejection !== undefined) ejection.trialUnderWay = false;
    },

    readmit(side) {
      ejections.delete(side);
      tallies.delete(side);
    },

    ejected() {
      return [...ejections.keys()];
    },

    forget(side) {
      ejections.delete(side);
      tallies.delete(side);
    },
  };
}
