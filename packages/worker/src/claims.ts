/**
 * Claims of entries to runs from before their stream broke, and the news that
 * such runs had meanwhile.
 */
import {
  type Claim,
  keyOfTask,
  type RunRef,
  type RunUpdate,
} from "@coltsfootreach/run";
import type { OwnerId } from "./effect.ts";

/** Ended runs whose outcome a claim can still learn. */
const MAX_REMEMBERED_ENDS = 500;

export interface WaitingClaim {
  readonly owner: OwnerId;
  readonly claim: Claim;
}

export interface Claims {
  /** Keeps a claim until it is known what runs. */
  wait(waiting: WaitingClaim): void;
  takeWaiting(): readonly WaitingClaim[];
  /** Keeps news that its owner may not have heard. */
  remember(news: RunUpdate): void;
  recall(ref: RunRef): RunUpdate | undefined;
}

export function createClaims(): Claims {
  let waiting: WaitingClaim[] = [];
  /** Oldest first. */
  const settled: RunUpdate[] = [];
  return {
    wait(one) {
      waiting.push(one);
    },
    takeWaiting() {
      const taken = waiting;
      waiting = [];
      return taken;
    },
    remember(news) {
      settled.push(news);
      if (settled.length > MAX_REMEMBERED_ENDS) settled.shift();
    },
    recall: (ref) => settled.find((news) => isSameRun(news.ref, ref)),
  };
}

function isSameRun(left: RunRef, right: RunRef): boolean {
  return left.run === right.run &&
    keyOfTask(left.task) === keyOfTask(right.task);
}
