/** Shows what is going on, entry by entry, with response times. */
import type {
  HistogramSummary,
  TenantTopRow,
  TopReport,
} from "@coltsfootreach/manage";
import type { Context } from "../../context.ts";
import { askAll } from "../../management.ts";
import { type CommandResult, succeed } from "../../report.ts";
import { formatBar, formatNumber, formatTable } from "../../text.ts";

export async function run(context: Context): Promise<CommandResult> {
  const asked = await askAll<TopReport>(context, "/top");
  return asked.map(({ bodies, failures }) => {
    const silent = failures.map((failure) => `no answer: ${failure}`);
    const text = [...bodies.map(formatTop), ...silent].join("\n\n");
    return succeed(text, { entries: bodies, failures });
  });
}

function formatTop(top: TopReport): string {
  return [
    `entry ${top.entry}`,
    formatTenants(top.tenants),
    "",
    formatServers(top),
    ...top.tenants.filter(({ response }) => response.count > 0)
      .flatMap((row) => ["", ...formatHistogram(row)]),
  ].join("\n");
}

function formatTenants(rows: readonly TenantTopRow[]): string {
  return formatTable([
    [
      "TENANT",
      "CLASS",
      "WAITING",
      "RUNNING",
      "ENDED",
      "FAILED",
      "LATE",
      "REFUSED",
      "P50 MS",
      "P99 MS",
      "P99.9 MS",
      "MAX MS",
    ],
    ...rows.map((row) => [
      row.tenant,
      row.class,
      row.waiting,
      row.running,
      row.ended,
      row.failed,
      row.late,
      row.refused,
      ...formatPercentiles(row.response),
    ]),
  ]);
}

function formatPercentiles(
  { count, p50, p99, p999, max }: HistogramSummary,
): readonly (string | undefined)[] {
  const values = [p50, p99, p999, max];
  return values.map((value) => count === 0 ? undefined : formatNumber(value));
}

function formatServers({ servers }: TopReport): string {
  return formatTable([
    ["SERVER", "WORKER", "STATE", "SLOTS", "RUNNING", "QUEUED", "FAILED %"],
    ...servers.toSorted((a, b) => a.server.localeCompare(b.server))
      .map((server) => [
        server.server,
        server.worker,
        server.state,
        server.slots,
        server.running,
        server.queued,
        formatNumber(server.failureRatio * 100),
      ]),
  ]);
}

function formatHistogram(
  { tenant, class: name, response }: TenantTopRow,
): readonly string[] {
  const most = Math.max(...response.buckets.map((bucket) => bucket.count));
  const rows = response.buckets.map(({ upTo, count }) => [
    `<= ${formatNumber(upTo)} ms`,
    count,
    formatBar(count, most),
  ]);
  return [`${tenant} ${name}`, formatTable(rows)];
}
