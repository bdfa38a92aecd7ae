/**
 * A placement policy chooses the side that runs a task. Policies perform no I/O
 * and read no clock: they decide only from the events and the time passed in.
 */
import type { ComputeResources, Load } from "@coltsfootreach/types";

/** A side as seen by the entry that places the task. */
export interface Candidate {
  readonly side: string;
  readonly server: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** Tasks started by this entry that have not ended. */
  readonly outstanding: number;
  /** The side's latest load report, over all entries, and its arrival time. */
  readonly load: Load;
  readonly loadAtMs: number;
  /** Tasks started by this entry that the latest load report includes. */
  readonly outstandingAtLoad: number;
  readonly classes: readonly string[];
  readonly size: ComputeResources;
}

/** What is known about a task before it is placed. */
export interface PlacementRequest {
  readonly class: string;
  readonly tenant: string;
  readonly size: ComputeResources;
  readonly declaredMs: number;
  /** Tasks of the same job that are not yet placed, including this one. */
  readonly unplaced: number;
  /** Longest declared run time among the job's tasks. */
  readonly longestMs?: number | undefined;
  /** Ratio of the tenant's recent slot time to its fair share. */
  readonly usageRatio?: number | undefined;
  /** Time since the job was accepted, in milliseconds. */
  readonly ageMs?: number | undefined;
  /** Time left until the deadline, in milliseconds. */
  readonly leftMs: number;
}

/** The outcome of a placed task, from which policies may learn. */
export interface Observation {
  readonly side: string;
  readonly class: string;
  readonly declaredMs: number;
  /** Undefined if the task did not run. */
  readonly runMs?: number | undefined;
  readonly failed: boolean;
}

export interface PlacementPolicy {
  /**
   * Returns the side that should run the task now, or undefined if the task
   * should wait in the queue. All candidates are live and can run the task.
   */
  choose(
    task: PlacementRequest,
    candidates: readonly Candidate[],
    nowMs: number,
  ): string | undefined;
  /** Returns false only if no task could be placed now; true when uncertain. */
  hasRoom?(candidates: readonly Candidate[], nowMs: number): boolean;
  /** Records the outcome of a task. */
  observe(observation: Observation, nowMs: number): void;
  /** Drops all state about a side that has permanently left. */
  forget(side: string): void;
}

/** A random number generator that returns numbers in [0, 1). */
export type Random = () => number;
