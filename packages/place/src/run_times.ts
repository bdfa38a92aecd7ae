/**
 * Learned run times. The logarithm of a run time is the sum of what its class
 * and its declared time foretell, of the side's slowness, and of a rest that is
 * taken as normal. How far the declared time counts is learned per class, so a
 * class whose declarations are worthless falls back to its own distribution.
 */

/** The run time of a task on a side of slowness 1. */
export interface Forecast {
  /** Mean of the logarithm of the run time in milliseconds. */
  readonly logMs: number;
  /** Standard deviation of the logarithm. */
  readonly spread: number;
}

/** The mean run time of a forecast in milliseconds. */
export function meanOf({ logMs, spread }: Forecast): number {
  return Math.exp(logMs + (spread * spread) / 2);
}

export interface RunTimes {
  /** Takes in a run of `runMs` that was declared as `declaredMs`. */
  observe(run: Run): void;
  forecast(className: string, declaredMs: number): Forecast;
  /** Mean run time in milliseconds on a side of slowness 1. */
  expectedMs(className: string, declaredMs: number): number;
  /** How many times longer a task runs on this side than on an average one. */
  slowness(side: string): number;
  /** Drops what is known of a side. */
  forget(side: string): void;
}

export interface Run {
  readonly side: string;
  readonly class: string;
  readonly declaredMs: number;
  readonly runMs: number;
}

interface ClassModel {
  count: number;
  meanDeclared: number;
  meanRun: number;
  varianceDeclared: number;
  covariance: number;
  varianceRest: number;
}

interface SideModel {
  logSlowness: number;
  /** Variance of the estimate. */
  uncertainty: number;
}

/** The weight of a new run is never below this, so that old runs fade. */
const MIN_GAIN = 0.002;

/** Runs of a class after which declared times may be trusted as learned. */
const PRIOR_RUNS = 20;

/** Variance of declared times, in squared logarithms, that is assumed. */
const PRIOR_VARIANCE_DECLARED = 0.5;

/** Variance of the rest that is assumed before runs were seen. */
const PRIOR_VARIANCE_REST = 0.5;

/** Variance of the slowness of a side of which nothing is known. */
const PRIOR_UNCERTAINTY = 0.5;

/** How much less certain a side's slowness gets with each run. */
const DRIFT = 0.0002;

const MIN_MS = 0.05;

function logOf(ms: number): number {
  return Math.log(Math.max(MIN_MS, ms));
}

function slopeOf(model: ClassModel): number {
  const slope = model.covariance / model.varianceDeclared;
  return Math.min(1, Math.max(0, slope));
}

function predict(model: ClassModel, logDeclared: number): number {
  return model.meanRun + slopeOf(model) * (logDeclared - model.meanDeclared);
}

function createClassModel(logDeclared: number): ClassModel {
  return {
    count: 0,
    meanDeclared: logDeclared,
    meanRun: logDeclared,
    varianceDeclared: PRIOR_VARIANCE_DECLARED,
    covariance: PRIOR_VARIANCE_DECLARED,
    varianceRest: PRIOR_VARIANCE_REST,
  };
}

/** Moves a class model towards one run, corrected for the side's slowness. */
function updateClass(
  model: ClassModel,
  logDeclared: number,
  logRun: number,
): void {
  const rest = logRun - predict(model, logDeclared);
  model.count++;
  const gain = Math.max(MIN_GAIN, 1 / (model.count + 1));
  const slowGain = Math.max(MIN_GAIN, 1 / (model.count + PRIOR_RUNS));
  const declaredOff = logDeclared - model.meanDeclared;
  const runOff = logRun - model.meanRun;
  model.meanDeclared += gain * declaredOff;
  model.meanRun += gain * runOff;
  model.varianceDeclared += slowGain *
    (declaredOff * declaredOff - model.varianceDeclared);
  model.covariance += slowGain * (declaredOff * runOff - model.covariance);
  model.varianceRest += slowGain * (rest * rest - model.varianceRest);
  model.varianceDeclared = Math.max(1e-6, model.varianceDeclared);
}

export function createRunTimes(): RunTimes {
  const classes = new Map<string, ClassModel>();
  const sides = new Map<string, SideModel>();

  function sideOf(side: string): SideModel {
    let model = sides.get(side);
    if (model === undefined) {
      model = { logSlowness: 0, uncertainty: PRIOR_UNCERTAINTY };
      sides.set(side, model);
    }
    return model;
  }

  function forecast(className: string, declaredMs: number): Forecast {
    const model = classes.get(className);
    const logDeclared = logOf(declaredMs);
    if (model === undefined) {
      return { logMs: logDeclared, spread: Math.sqrt(PRIOR_VARIANCE_REST) };
    }
    return {
      logMs: predict(model, logDeclared),
      spread: Math.sqrt(model.varianceRest),
    };
  }

  return {
    observe(run) {
      const logDeclared = logOf(run.declaredMs);
      const logRun = logOf(run.runMs);
      const side = sideOf(run.side);
      let model = classes.get(run.class);
      if (model === undefined) {
        model = createClassModel(logDeclared);
        classes.set(run.class, model);
      }
      const rest = logRun - predict(model, logDeclared);
      updateClass(model, logDeclared, logRun - side.logSlowness);
      side.uncertainty += DRIFT;
      const gain = side.uncertainty / (side.uncertainty + model.varianceRest);
      side.logSlowness += gain * (rest - side.logSlowness);
      side.uncertainty *= 1 - gain;
    },

    forecast,

    expectedMs(className, declaredMs) {
      return meanOf(forecast(className, declaredMs));
    },

    slowness(side) {
      return Math.exp(sides.get(side)?.logSlowness ?? 0);
    },

    forget(side) {
      sides.delete(side);
    },
  };
}
