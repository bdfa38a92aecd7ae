/**
 * Which sides may take a task: by the rules of the configuration, by whether
 * they follow it, and by how their tasks have ended lately.
 */
import type { Candidate } from "@coltsfootreach/place";
import type { TaskRequirements } from "@coltsfootreach/types";
import { createCandidates } from "./candidates.ts";
import type { EntryContext } from "./context.ts";
import type { SideState } from "./sides.ts";

export interface Eligibility {
  candidates(need: TaskRequirements, nowMs: number): readonly Candidate[];
  /** Operators may have taken ejected backend servers in again. */
  followRules(): void;
  /** A side on probation gets one task, whose outcome decides. */
  noteTrial(side: SideState, nowMs: number): void;
  /** Takes in how a task on a side has ended. */
  judge(side: SideState, failed: boolean, nowMs: number): void;
  /** A task that was sent to a side was not run there. */
  cancelTrial(side: SideState): void;
}

export function createEligibility(context: EntryContext): Eligibility {
  const { sides, settlement, configuration, health } = context;
  const candidates = createCandidates({
    sides,
    tableVersion: () => settlement.table().version,
    admits: mayTakeWork,
  });

  function mayTakeWork(side: SideState, nowMs: number): boolean {
    const { server } = side.announcement!;
    if (configuration.rules().drained.includes(server)) return false;
    if (configuration.isLagging(side, nowMs)) return false;
    return isNeverEjected(server) ||
      health.ejectionState(server, nowMs) !== "out";
  }

  function isNeverEjected(server: string): boolean {
    return configuration.rules().neverEjected.includes(server);
  }

  function followRules(): void {
    for (const server of health.ejected()) {
      if (!isNeverEjected(server)) continue;
      health.readmit(server);
      context.undone({ kind: "eject", subject: server, figures: {} });
    }
    candidates.changed();
  }

  function noteTrial(side: SideState, nowMs: number): void {
    const { server } = side.announcement!;
    if (health.ejectionState(server, nowMs) === "trial") {
      health.startTrial(server, nowMs);
      candidates.changed();
    }
  }

  function judge(side: SideState, failed: boolean, nowMs: number): void {
    const server = side.announcement?.server;
    if (server === undefined || isNeverEjected(server)) return;
    const act = health.observe({ side: server, failed }, nowMs);
    if (act === undefined) return;
    context.act(act);
    candidates.changed();
  }

  return {
    candidates: (need, nowMs) => candidates.find(need, nowMs),
    followRules,
    noteTrial,
    judge,
    cancelTrial(side) {
      const server = side.announcement?.server;
      if (server !== undefined) health.cancelTrial(server);
    },
  };
}
