/** A job as a caller hands it in: steps of tasks, some of them after others. */

/** What a task takes from its backend server while it runs. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpu: number;
  readonly memoryMb: number;
  readonly gpu: number;
}

export interface Step {
  /** Number of tasks. */
  readonly count: number;
  readonly resources: Resources;
  /** The caller's guess of one task's run time. */
  readonly estimateMs: number;
  /** Positions of earlier steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** Rack that holds the data; "" for none. */
  readonly rack: string;
  /** Label that the backend server must have; "" for none. */
  readonly requiredLabel: string;
  /** Most tasks of the step on one backend server; 0 for no bound. */
  readonly maxPerServer: number;
  /** All tasks work only while all of them are present. */
  readonly isGang: boolean;
}

export interface Job {
  /** The caller's name for the job; a repeated submission carries it again. */
  readonly id: string;
  /** Text that backend servers get with each task. */
  readonly payload: string;
  readonly steps: readonly Step[];
  /** How long the caller waits for the answer. */
  readonly timeoutMs: number;
}

/** One task of a job. */
export interface TaskRef {
  readonly job: string;
  /** Repetition of the job, counted from 0. */
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

export function fits(need: Resources, room: Resources): boolean {
  return need.cpu <= room.cpu && need.memoryMb <= room.memoryMb &&
    need.gpu <= room.gpu;
}

export function add(left: Resources, right: Resources): Resources {
  return {
    cpu: left.cpu + right.cpu,
    memoryMb: left.memoryMb + right.memoryMb,
    gpu: left.gpu + right.gpu,
  };
}

export function subtract(left: Resources, right: Resources): Resources {
  return {
    cpu: left.cpu - right.cpu,
    memoryMb: left.memoryMb - right.memoryMb,
    gpu: left.gpu - right.gpu,
  };
}

export function areEqual(left: Resources, right: Resources): boolean {
  return left.cpu === right.cpu && left.memoryMb === right.memoryMb &&
    left.gpu === right.gpu;
}

export const NO_RESOURCES: Resources = { cpu: 0, memoryMb: 0, gpu: 0 };

/** A key for maps; equal for equal tasks. */
export function keyOfTask(task: TaskRef): string {
  return `${task.job}/${task.occurrence}/${task.step}/${task.index}`;
}
