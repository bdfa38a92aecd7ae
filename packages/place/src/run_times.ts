/**
 * Learns run times online. The logarithm of a run time is modeled as the sum of
 * a linear prediction from the task's class and declared time, the log slowness
 * of the side, and a normally distributed residual. The weight of the declared
 * time is learned per class, so a class whose declared times carry no
 * information falls back to the distribution of its run times.
 */

/** Predicted run time of a task on a side with slowness 1. */
export interface Forecast {
  /** Mean of the logarithm of the run time in milliseconds. */
  readonly logMs: number;
  /** Standard deviation of that logarithm. */
  readonly logDeviation: number;
}

/** Mean run time of a forecast, in milliseconds. */
export function meanMsOf({ logMs, logDeviation }: Forecast): number {
  return Math.exp(logMs + (logDeviation * logDeviation) / 2);
}

export interface RunTimeModel {
  /** Updates the model with a completed run. */
  observe(run: CompletedRun): void;
  forecast(className: string, declaredMs: number): Forecast;
  /** Mean run time on a side with slowness 1, in milliseconds. */
  expectedMs(className: string, declaredMs: number): number;
  /** Ratio of run times on this side to those on an average side. */
  slowness(side: string): number;
  /** Drops all state about a side. */
  forget(side: string): void;
}

export interface CompletedRun {
  readonly side: string;
  readonly class: string;
  readonly declaredMs: number;
  readonly runMs: number;
}

interface ClassModel {
  count: number;
  meanLogDeclared: number;
  meanLogRun: number;
  declaredVariance: number;
  covariance: number;
  residualVariance: number;
}

interface SideModel {
  logSlowness: number;
  /** Variance of the estimated log slowness. */
  variance: number;
}

/** Minimum weight of a new run, so that the influence of old runs decays. */
const MIN_GAIN = 0.002;

/**
 * Number of runs that the priors of a class count as. Beyond it the learned
 * weight of declared times is reliable.
 */
const PRIOR_RUNS = 20;

/** Prior variance of the logarithm of declared times. */
const PRIOR_DECLARED_VARIANCE = 0.5;

/** Prior variance of the residual, before any run is observed. */
const PRIOR_RESIDUAL_VARIANCE = 0.5;

/** Prior variance of the log slowness of an unknown side. */
const PRIOR_SLOWNESS_VARIANCE = 0.5;

/** Variance added to a side's log slowness per run, to track its changes. */
const SLOWNESS_DRIFT_VARIANCE = 0.0002;

const MIN_DURATION_MS = 0.05;

function logDuration(ms: number): number {
  return Math.log(Math.max(MIN_DURATION_MS, ms));
}

function slopeOf(model: ClassModel): number {
  const slope = model.covariance / model.declaredVariance;
  return Math.min(1, Math.max(0, slope));
}

function predict(model: ClassModel, logDeclared: number): number {
  return model.meanLogRun +
    slopeOf(model) * (logDeclared - model.meanLogDeclared);
}

function createClassModel(logDeclared: number): ClassModel {
  return {
    count: 0,
    meanLogDeclared: logDeclared,
    meanLogRun: logDeclared,
    declaredVariance: PRIOR_DECLARED_VARIANCE,
    covariance: PRIOR_DECLARED_VARIANCE,
    residualVariance: PRIOR_RESIDUAL_VARIANCE,
  };
}

/** Updates a class model with one run, corrected for the side's slowness. */
function updateClass(
  model: ClassModel,
  logDeclared: number,
  logRun: number,
): void {
  const residual = logRun - predict(model, logDeclared);
  model.count++;
  const gain = Math.max(MIN_GAIN, 1 / (model.count + 1));
  const priorGain = Math.max(MIN_GAIN, 1 / (model.count + PRIOR_RUNS));
  const declaredDeviation = logDeclared - model.meanLogDeclared;
  const runDeviation = logRun - model.meanLogRun;
  model.meanLogDeclared += gain * declaredDeviation;
  model.meanLogRun += gain * runDeviation;
  model.declaredVariance += priorGain *
    (declaredDeviation * declaredDeviation - model.declaredVariance);
  model.covariance += priorGain *
    (declaredDeviation * runDeviation - model.covariance);
  model.residualVariance += priorGain *
    (residual * residual - model.residualVariance);
  model.declaredVariance = Math.max(1e-6, model.declaredVariance);
}

export function createRunTimeModel(): RunTimeModel {
  const classModels = new Map<string, ClassModel>();
  const sideModels = new Map<string, SideModel>();

  function sideModelOf(side: string): SideModel {
    let model = sideModels.get(side);
    if (model === undefined) {
      model = { logSlowness: 0, variance: PRIOR_SLOWNESS_VARIANCE };
      sideModels.set(side, model);
    }
    return model;
  }

  function forecast(className: string, declaredMs: number): Forecast {
    const model = classModels.get(className);
    const logDeclared = logDuration(declaredMs);
    if (model === undefined) {
      return {
        logMs: logDeclared,
        logDeviation: Math.sqrt(PRIOR_RESIDUAL_VARIANCE),
      };
    }
    return {
      logMs: predict(model, logDeclared),
      logDeviation: Math.sqrt(model.residualVariance),
    };
  }

  return {
    observe(run) {
      const logDeclared = logDuration(run.declaredMs);
      const logRun = logDuration(run.runMs);
      const sideModel = sideModelOf(run.side);
      let model = classModels.get(run.class);
      if (model === undefined) {
        model = createClassModel(logDeclared);
        classModels.set(run.class, model);
      }
      const residual = logRun - predict(model, logDeclared);
      updateClass(model, logDeclared, logRun - sideModel.logSlowness);
      sideModel.variance += SLOWNESS_DRIFT_VARIANCE;
      const gain = sideModel.variance /
        (sideModel.variance + model.residualVariance);
      sideModel.logSlowness += gain * (residual - sideModel.logSlowness);
      sideModel.variance *= 1 - gain;
    },

    forecast,

    expectedMs(className, declaredMs) {
      return meanMsOf(forecast(className, declaredMs));
    },

    slowness(side) {
      return Math.exp(sideModels.get(side)?.logSlowness ?? 0);
    },

    forget(side) {
      sideModels.delete(side);
    },
  };
}
