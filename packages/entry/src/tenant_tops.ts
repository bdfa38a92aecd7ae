/** Adds what is waiting and running now to what has ended, per tenant. */
import type { JobRecord } from "@coltsfootreach/admit";
import type { TenantTopRow } from "@coltsfootreach/manage";
import type { ClassStats } from "@coltsfootreach/measure";

const NO_RESPONSE = { count: 0, p50: 0, p99: 0, p999: 0, max: 0, buckets: [] };

interface Tally {
  readonly tenant: string;
  readonly class: string;
  waiting: number;
  running: number;
}

export function assembleTenantTops(
  flows: readonly ClassStats[],
  open: Iterable<JobRecord>,
): readonly TenantTopRow[] {
  const tallies = countOpen(open);
  const ended = new Map(flows.map((flow) => [nameOf(flow), flow]));
  const names = new Set([...tallies.keys(), ...ended.keys()]);
  return [...names].sort().map((name) => {
    const flow = ended.get(name);
    const tally = tallies.get(name);
    return {
      tenant: (flow ?? tally)!.tenant,
      class: (flow ?? tally)!.class,
      waiting: tally?.waiting ?? 0,
      running: tally?.running ?? 0,
      ended: flow?.ended ?? 0,
      failed: flow?.failed ?? 0,
      late: flow?.late ?? 0,
      refused: flow?.refused ?? 0,
      response: flow?.response ?? NO_RESPONSE,
    };
  });
}

function countOpen(open: Iterable<JobRecord>): Map<string, Tally> {
  const tallies = new Map<string, Tally>();
  for (const { job, tasks } of open) {
    if (job === undefined) continue;
    const name = nameOf(job);
    const tally = tallies.get(name) ??
      { tenant: job.tenant, class: job.class, waiting: 0, running: 0 };
    tallies.set(name, tally);
    for (const task of tasks) {
      if (task.kind === "waiting") tally.waiting += 1;
      if (task.kind === "sent") tally.running += 1;
    }
  }
  return tallies;
}

function nameOf(flow: { readonly tenant: string; readonly class: string }) {
  return `${flow.tenant}\n${flow.class}`;
}
