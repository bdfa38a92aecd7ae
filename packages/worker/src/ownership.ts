/**
 * Which entry owns a run. An entry whose stream broke may claim its runs on a
 * new one; runs that no entry claims in time are stopped.
 */
import type { Claim } from "@coltsfootreach/run";
import type { OwnerId } from "./effect.ts";
import type { RunOutcomes } from "./run_outcomes.ts";
import type { Run } from "./runs.ts";
import type { Stops } from "./stops.ts";
import type { WorkerState } from "./worker_state.ts";

export interface OwnershipOptions {
  readonly outcomes: RunOutcomes;
  readonly stops: Stops;
}

export interface Ownership {
  /** Claims can be answered only after the first list of runs has arrived. */
  handleClaim(owner: OwnerId, claim: Claim, now: number): void;
  answerPendingClaims(now: number): void;
  removeOwner(
    owner: OwnerId,
    reason: "silent" | "stream closed",
    now: number,
  ): void;
  removeSilentOwners(now: number): void;
  stopUnclaimedRuns(now: number): void;
  /** Entries with runs on this side. */
  busyOwners(): ReadonlySet<OwnerId>;
}

export function createOwnership(
  state: WorkerState,
  { outcomes, stops }: OwnershipOptions,
): Ownership {
  const { claims, leaseLimit, owners, runs, timing } = state;
  const { loseRun, notify } = outcomes;
  const { beginStop, handleStop } = stops;

  /** Claims can be answered only after the first list of runs has arrived. */
  function handleClaim(owner: OwnerId, claim: Claim, now: number): void {
    if (state.current?.hasRunList) answerClaim(owner, claim, now);
    else claims.wait(owner, claim);
  }

  function answerPendingClaims(now: number): void {
    for (const { owner, claim, isStopRequested } of claims.takePending()) {
      if (!owners.has(owner)) continue;
      answerClaim(owner, claim, now);
      if (isStopRequested && runs.find(claim.ref)?.owner === owner) {
        handleStop(owner, claim.ref, now);
      }
    }
  }

  function answerClaim(owner: OwnerId, claim: Claim, now: number): void {
    const run = runs.find(claim.ref);
    if (run !== undefined && run.owner === undefined) {
      run.owner = owner;
      run.resources ??= claim.resources;
      run.estimateMs = claim.estimateMs;
      state.logRun("run claimed by entry", run);
      if (run.state === "stopping") return;
      run.endBy = Infinity;
      run.lastProgressAt = now;
      return;
    }
    const outcome = claims.findOutcome(claim.ref);
    notify(
      owner,
      outcome ?? { kind: "lost", ref: claim.ref, reason: "not here" },
    );
  }

  function removeOwner(
    owner: OwnerId,
    reason: "silent" | "stream closed",
    now: number,
  ): void {
    if (!owners.has(owner)) return;
    const entry = owners.entryNameOf(owner);
    const endBy = leaseLimit.endOfRun(owners.lastReceivedAt(owner));
    // The silence timeout already covers the time to reconnect.
    const reclaimMs = reason === "silent" ? 0 : timing.reclaimMs;
    owners.close(owner);
    cancelUnsentStarts(owner, now);
    const owned = runs.all().filter((run) => run.owner === owner);
    for (const run of owned) {
      run.owner = undefined;
      run.claimableUntil = now + reclaimMs;
      run.endBy = Math.min(run.endBy, endBy);
    }
    state.log({
      message: "entry lost",
      entry,
      reason,
      figures: { runs: owned.length, reclaimMs },
    });
  }

  /** Drops start requests of this turn whose owner is gone. */
  function cancelUnsentStarts(owner: OwnerId, now: number): void {
    const cancelled: Run[] = [];
    state.keepEffects((effect) => {
      if (effect.kind !== "start") return true;
      const run = runs.find(effect.request.ref);
      if (run?.owner !== owner) return true;
      cancelled.push(run);
      return false;
    });
    for (const run of cancelled) {
      run.owner = undefined;
      loseRun(run, "not started", now);
    }
  }

  function stopUnclaimedRuns(now: number): void {
    for (const run of runs.all()) {
      const isUnclaimed = run.owner === undefined && run.state !== "stopping";
      if (!isUnclaimed || now < run.claimableUntil) continue;
      state.logRun("stop", run, { reason: "no owner" });
      beginStop(run, now);
    }
  }

  function busyOwners(): ReadonlySet<OwnerId> {
    const busy = new Set<OwnerId>();
    for (const { owner } of runs.all()) {
      if (owner !== undefined) busy.add(owner);
    }
    return busy;
  }

  function removeSilentOwners(now: number): void {
    const timeouts = {
      busyMs: timing.entryLostMs,
      idleMs: timing.idleEntryLostMs,
    };
    for (const owner of owners.silent(timeouts, now)) {
      removeOwner(owner, "silent", now);
      state.emit({ kind: "close", owner });
    }
  }

  return {
    handleClaim,
    answerPendingClaims,
    removeOwner,
    removeSilentOwners,
    stopUnclaimedRuns,
    busyOwners,
  };
}
