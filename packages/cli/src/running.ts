/** Puts together what runs and waits, from what all entries report. */
import {
  EMPTY_WORKLOAD,
  type WorkloadSnapshot,
} from "@coltsfootreach/configure";
import type {
  EntryStatus,
  ServerTopRow,
  TenantTopRow,
  TopReport,
} from "@coltsfootreach/manage";
import type { Context } from "./context.ts";
import { askAll } from "./management.ts";

export interface RunningReport {
  readonly running: WorkloadSnapshot;
  /** False when no entry could be asked, or not all answered. */
  readonly known: boolean;
  readonly reason: string;
}

export async function readRunning(context: Context): Promise<RunningReport> {
  const tops = await askAll<TopReport>(context, "/top");
  const statuses = await askAll<EntryStatus>(context, "/status");
  if (tops.isErr()) return unknown(tops.error.message);
  if (statuses.isErr()) return unknown(statuses.error.message);
  const { bodies, failures } = tops.value;
  return {
    running: {
      servers: mergeServers(bodies.flatMap((top) => top.servers)),
      tenants: mergeTenants(bodies.flatMap((top) => top.tenants)),
      classes: mergeClasses(bodies.flatMap((top) => top.tenants)),
      entries: statuses.value.bodies.map(({ incarnation }) => incarnation),
    },
    known: failures.length === 0,
    reason: failures.join("; "),
  };
}

function unknown(reason: string): RunningReport {
  return { running: EMPTY_WORKLOAD, known: false, reason };
}

/** Each entry reports the load from all, so one report is enough. */
function mergeServers(
  servers: readonly ServerTopRow[],
): WorkloadSnapshot["servers"] {
  return [...new Map(servers.map((item) => [item.server, item])).values()];
}

function mergeTenants(
  rows: readonly TenantTopRow[],
): WorkloadSnapshot["tenants"] {
  return [...new Set(rows.map((row) => row.tenant))].map((tenant) => ({
    tenant,
    ...total(rows.filter((row) => row.tenant === tenant)),
  }));
}

function mergeClasses(
  rows: readonly TenantTopRow[],
): WorkloadSnapshot["classes"] {
  return [...new Set(rows.map((row) => row.class))].map((name) => ({
    class: name,
    ...total(rows.filter((row) => row.class === name)),
  }));
}

function total(rows: readonly TenantTopRow[]) {
  return {
    waiting: rows.reduce((sum, row) => sum + row.waiting, 0),
    running: rows.reduce((sum, row) => sum + row.running, 0),
  };
}
