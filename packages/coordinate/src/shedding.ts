/**
 * Records that jobs of a tenant are refused for load: one act for a run of
 * refusals, which ends when none has come for a while.
 */
import type { Refusal, RefusalCode } from "@coltsfootreach/types";
import type { StandingActs } from "./standing_acts.ts";

const SHED_CODES: readonly RefusalCode[] = [
  "tooMuchQueued",
  "overQuota",
  "deadlineUnreachable",
];

/** Time without a refusal after which a run of refusals is over. */
const QUIET_MS = 5000;

/** Tenants whose refusals are told apart. */
const MAX_TENANTS = 10_000;

export interface Shedding {
  refused(refused: RefusedJob, nowMs: number): void;
  /** Ends the runs that have been quiet. */
  check(nowMs: number): void;
}

export interface RefusedJob {
  readonly tenant: string;
  readonly tasks: number;
  readonly refusal: Refusal;
  /** Job records that the entry holds. */
  readonly records: number;
}

interface Run {
  jobs: number;
  tasks: number;
  lastAtMs: number;
}

export function createShedding(acts: StandingActs): Shedding {
  const runs = new Map<string, Run>();

  return {
    refused({ tenant, tasks, refusal, records }, nowMs) {
      if (!SHED_CODES.includes(refusal.code)) return;
      let run = runs.get(tenant);
      if (run === undefined) {
        if (runs.size >= MAX_TENANTS) return;
        run = { jobs: 0, tasks: 0, lastAtMs: nowMs };
        runs.set(tenant, run);
      }
      run.jobs += 1;
      run.tasks += tasks;
      run.lastAtMs = nowMs;
      acts.begin({
        kind: "shed",
        subject: tenant,
        why: `its jobs are refused: ${refusal.reason}`,
        figures: {
          records,
          tasksOfFirst: tasks,
          retryAfterMs: refusal.retryAfterMs ?? 0,
        },
      });
    },
    check(nowMs) {
      for (const [tenant, { jobs, tasks, lastAtMs }] of runs) {
        if (nowMs - lastAtMs < QUIET_MS) continue;
        runs.delete(tenant);
        const figures = { refusedJobs: jobs, refusedTasks: tasks };
        acts.end("shed", tenant, figures);
      }
    },
  };
}
