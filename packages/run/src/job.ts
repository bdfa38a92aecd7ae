/** A job as submitted by a caller: a graph of steps, each a set of tasks. */

/** Resources that a task uses on its backend server while it runs. */
export interface Resources {
  /** In thousandths of a core. */
  readonly cpu: number;
  readonly memoryMb: number;
  readonly gpu: number;
}

export interface Step {
  /** Number of tasks. */
  readonly count: number;
  readonly resources: Resources;
  /** Run time of one task, as estimated by the caller. */
  readonly estimateMs: number;
  /** Indexes of earlier steps whose tasks must all complete first. */
  readonly after: readonly number[];
  /** Rack that holds the input data; "" for none. */
  readonly rack: string;
  /** Label required of the backend server; "" for none. */
  readonly requiredLabel: string;
  /** Maximum tasks of the step per backend server; 0 for no limit. */
  readonly maxPerServer: number;
  /** Gang scheduling: tasks make progress only while all of them run. */
  readonly isGang: boolean;
}

export interface Job {
  /** Idempotency key set by the caller; resubmissions reuse it. */
  readonly id: string;
  /** Payload sent to backend servers with each task. */
  readonly payload: string;
  readonly steps: readonly Step[];
  /** Time that the caller waits for the response. */
  readonly timeoutMs: number;
}

/** Identifies one task of a job. */
export interface TaskRef {
  readonly job: string;
  /** Repetition of the job, starting at 0. */
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

export function fits(need: Resources, room: Resources): boolean {
  return need.cpu <= room.cpu && need.memoryMb <= room.memoryMb &&
    need.gpu <= room.gpu;
}

export function addResources(left: Resources, right: Resources): Resources {
  return {
    cpu: left.cpu + right.cpu,
    memoryMb: left.memoryMb + right.memoryMb,
    gpu: left.gpu + right.gpu,
  };
}

export function subtractResources(
  left: Resources,
  right: Resources,
): Resources {
  return {
    cpu: left.cpu - right.cpu,
    memoryMb: left.memoryMb - right.memoryMb,
    gpu: left.gpu - right.gpu,
  };
}

export function areResourcesEqual(left: Resources, right: Resources): boolean {
  return left.cpu === right.cpu && left.memoryMb === right.memoryMb &&
    left.gpu === right.gpu;
}

export const NO_RESOURCES: Resources = { cpu: 0, memoryMb: 0, gpu: 0 };

/** Returns a map key that is equal for equal task references. */
export function keyOfTask(task: TaskRef): string {
  return `${task.job}/${task.occurrence}/${task.step}/${task.index}`;
}
