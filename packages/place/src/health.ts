/**
 * Ejects sides that fail what they start. A side that fails at once looks idle
 * and would draw work, so its failure ratio decides and not its load. An
 * ejected side is out for a probation time, then gets a single trial task whose
 * outcome readmits it or keeps it out for twice as long. Failures that all
 * sides share, for example of one tenant's broken tasks, eject nobody.
 */
import type { Act, Rules } from "@coltsfootreach/types";

/** Whether a side may take a task: any, one trial task, or none. */
export type Standing = "in" | "trial" | "out";

export interface Health {
  /** Takes in how a started task ended; returns what was done about it. */
  observe(outcome: Outcome, nowMs: number): Act | undefined;
  standing(side: string, nowMs: number): Standing;
  /** A trial task was sent; the side takes no other until it ends. */
  startTrial(side: string, nowMs: number): void;
  /** The trial task was not run, so the side may get another. */
  cancelTrial(side: string): void;
  /** Lets a side take work again on an operator's word. */
  readmit(side: string): void;
  /** Share of a side's recent tasks that failed, 0 to 1. */
  failureRatio(side: string, nowMs: number): number;
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

/** Time after which an outcome counts half. */
const HALF_LIFE_MS = 10_000;

/** A side must fail this many times as often as the other sides do. */
const MIN_EXCESS = 2;

/** Most times a probation is doubled. */
const MAX_DOUBLINGS = 5;

/** Outcomes of a side, faded with age. */
interface Tally {
  ended: number;
  failed: number;
  atMs: number;
}

interface Ejection {
  readonly act: Act;
  readonly doublings: number;
  readonly untilMs: number;
  trialUnderWay: boolean;
}

function createTally(nowMs: number): Tally {
  return { ended: 0, failed: 0, atMs: nowMs };
}

function fade(tally: Tally, nowMs: number): void {
  const factor = 0.5 ** (Math.max(0, nowMs - tally.atMs) / HALF_LIFE_MS);
  tally.ended *= factor;
  tally.failed *= factor;
  tally.atMs = nowMs;
}

function count(tally: Tally, failed: boolean, nowMs: number): void {
  fade(tally, nowMs);
  tally.ended += 1;
  tally.failed += failed ? 1 : 0;
}

/** Failures per ended task on all sides but one. */
function ratioOfOthers(all: Tally, own: Tally): number {
  const ended = all.ended - own.ended;
  return ended < 1 ? 0 : Math.max(0, all.failed - own.failed) / ended;
}

export function createHealth(options: HealthOptions): Health {
  const { rules, sides, nextId } = options;
  const tallies = new Map<string, Tally>();
  const ejections = new Map<string, Ejection>();
  let all = createTally(0);

  function tallyOf(side: string, nowMs: number): Tally {
    let tally = tallies.get(side);
    if (tally === undefined) {
      tally = createTally(nowMs);
      tallies.set(side, tally);
    }
    return tally;
  }

  function mayEject(tally: Tally): boolean {
    const { held, ejectFailureRatio, ejectAtMost } = rules();
    if (held.includes("eject") || tally.ended < MIN_SAMPLE) return false;
    if (ejections.size + 1 > ejectAtMost * sides()) return false;
    const ratio = tally.failed / tally.ended;
    return ratio >= ejectFailureRatio &&
      ratio >= MIN_EXCESS * ratioOfOthers(all, tally);
  }

  function eject(side: string, tally: Tally, nowMs: number): Act {
    const { configurationVersion, ejectFailureRatio, probationMs } = rules();
    const act: Act = {
      id: nextId(),
      kind: "eject",
      subject: side,
      why: "it failed too large a share of the tasks it started",
      figures: {
        failureRatio: tally.failed / tally.ended,
        ended: tally.ended,
        failureRatioOfOthers: ratioOfOthers(all, tally),
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

  function readmitted(side: string, ejection: Ejection, nowMs: number): Act {
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
  ): Act | undefined {
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
      count(all, outcome.failed, nowMs);
      if (!outcome.failed || !mayEject(tally)) return undefined;
      return eject(outcome.side, tally, nowMs);
    },

    failureRatio(side, nowMs) {
      const tally = tallies.get(side);
      if (tally === undefined) return 0;
      fade(tally, nowMs);
      return tally.ended === 0 ? 0 : tally.failed / tally.ended;
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
      if (tallies.size === 0) all = createTally(0);
    },
  };
}
