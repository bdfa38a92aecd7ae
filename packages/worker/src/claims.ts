/**
 * Claims that entries make, after a reconnect, to runs from before their stream
 * broke, and the outcomes of runs that ended in the meantime.
 */
import {
  type Claim,
  keyOfTask,
  type RunRef,
  type RunUpdate,
} from "@coltsfootreach/run";
import type { OwnerId } from "./effect.ts";

/** Maximum number of ended runs whose outcome is kept for later claims. */
const MAX_OUTCOMES = 500;

export interface PendingClaim {
  readonly owner: OwnerId;
  readonly claim: Claim;
  /** The entry has asked for a stop of the run since. */
  readonly isStopRequested: boolean;
}

export interface Claims {
  /** Queues a claim until the first list of runs has arrived. */
  wait(owner: OwnerId, claim: Claim): void;
  /** Notes a stop of a run whose claim is queued; false if none is. */
  requestStop(owner: OwnerId, ref: RunRef): boolean;
  takePending(): readonly PendingClaim[];
  /** Keeps an outcome that may not have reached the owner of the run. */
  recordOutcome(outcome: RunUpdate): void;
  findOutcome(ref: RunRef): RunUpdate | undefined;
}

export function createClaims(): Claims {
  let pending: PendingClaim[] = [];
  /** In order of arrival. */
  const outcomes: RunUpdate[] = [];
  return {
    wait(owner, claim) {
      pending.push({ owner, claim, isStopRequested: false });
    },
    requestStop(owner, ref) {
      const index = pending.findIndex((queued) =>
        queued.owner === owner && isSameRun(queued.claim.ref, ref)
      );
      if (index < 0) return false;
      pending[index] = { ...pending[index]!, isStopRequested: true };
      return true;
    },
    takePending() {
      const taken = pending;
      pending = [];
      return taken;
    },
    recordOutcome(outcome) {
      outcomes.push(outcome);
      if (outcomes.length > MAX_OUTCOMES) outcomes.shift();
    },
    findOutcome: (ref) =>
      outcomes.find((outcome) => isSameRun(outcome.ref, ref)),
  };
}

function isSameRun(left: RunRef, right: RunRef): boolean {
  return left.run === right.run &&
    keyOfTask(left.task) === keyOfTask(right.task);
}
