/**
 * A placement policy picks the side for one task. Policies are pure: they are
 * told what happens and the time, and decide from that alone.
 */
import type { ComputeResources, Load } from "@coltsfootreach/types";

/** A side as the placing entry knows it. */
export interface Candidate {
  readonly side: string;
  readonly server: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** Starts of this entry that have not ended. */
  readonly outstanding: number;
  /** The side's own last word, over all entries, and when it came. */
  readonly load: Load;
  readonly loadAtMs: number;
  /** Starts of this entry that the side had taken in when it said so. */
  readonly outstandingAtLoad: number;
  readonly classes: readonly string[];
  readonly size: ComputeResources;
}

/** What is known of a task before it starts. */
export interface Placing {
  readonly class: string;
  readonly tenant: string;
  readonly size: ComputeResources;
  readonly declaredMs: number;
  /** Tasks of the same job that have not been placed yet, this one included. */
  readonly unplaced: number;
  /** The longest declared run time of the job's tasks. */
  readonly longestMs?: number | undefined;
  /** Slot time that the tenant took lately over its fair share. */
  readonly usageRatio?: number | undefined;
  /** Time since the job was accepted in milliseconds. */
  readonly ageMs?: number | undefined;
  /** Time left until the deadline in milliseconds. */
  readonly leftMs: number;
}

/** How a placed task ended, for policies that learn. */
export interface Observation {
  readonly side: string;
  readonly class: string;
  readonly declaredMs: number;
  /** Absent when the task did not run. */
  readonly runMs?: number | undefined;
  readonly failed: boolean;
}

export interface Policy {
  /**
   * The side that should run the task now, or undefined when the task had
   * better wait in the queue. All candidates fit the task and are live.
   */
  choose(
    task: Placing,
    candidates: readonly Candidate[],
    nowMs: number,
  ): string | undefined;
  /** False when no task at all would be placed now; true when in doubt. */
  hasRoom?(candidates: readonly Candidate[], nowMs: number): boolean;
  /** Takes in how a task ended. */
  observe(observation: Observation, nowMs: number): void;
  /** Forgets a side that is gone for good. */
  forget(side: string): void;
}

/** A source of random numbers in [0, 1). */
export type Random = () => number;
