/** Shows which version each process has in force, and who lags. */
import { err, ok, type Result } from "neverthrow";
import type { ConfigurationRecord } from "@coltsfootreach/configure";
import type { StatusReport } from "@coltsfootreach/manage";
import { describeRecord, withVersions } from "../../configuration.ts";
import type { Context } from "../../context.ts";
import { askAll, type EntryAnswers } from "../../management.ts";
import { type CommandResult, fail, succeed } from "../../report.ts";
import { formatTable } from "../../text.ts";

export async function run(context: Context): Promise<CommandResult> {
  const head = await readHeadRecord(context);
  const asked = await askAll<StatusReport>(context, "/status");
  if (asked.isErr()) return err(asked.error);
  const answers = asked.value;
  const text = [
    describeHead(head),
    formatEntries(answers),
    ...describeTrouble(answers.bodies),
    ...answers.failures.map((failure) => `no answer: ${failure}`),
  ].join("\n");
  const data = {
    store: head.isOk() ? summarize(head.value) : { error: head.error },
    entries: answers.bodies,
    failures: answers.failures,
  };
  const quiet = answers.failures.length === 0 &&
    answers.bodies
      .every(({ laggards }) => !laggards.some(({ overdue }) => overdue));
  return ok(quiet ? succeed(text, data) : fail(text, data));
}

type HeadRecord = Result<ConfigurationRecord | undefined, string>;

async function readHeadRecord(context: Context): Promise<HeadRecord> {
  const read = await withVersions(
    context,
    async ({ repository }) => await repository.readHead(),
  );
  return read.map((head) => head?.record).mapErr((error) => error.message);
}

function summarize(record: ConfigurationRecord | undefined) {
  if (record === undefined) return { version: 0 };
  const { version, author, atMs, note } = record;
  return { version, author, atMs, note };
}

function describeHead(head: HeadRecord): string {
  if (head.isErr()) return `store: ${head.error}`;
  if (head.value === undefined) return "store: no configuration yet";
  return `store: ${describeRecord(head.value)}`;
}

function formatEntries({ bodies }: EntryAnswers<StatusReport>): string {
  return formatTable([
    ["ENTRY", "VERSION", "FROM", "FOR", "PROCESSES", "BEHIND", "STORE"],
    ...bodies.map((status) => [
      status.entry,
      status.configuration.version,
      status.configuration.source,
      sinceOf(status),
      status.processes.length,
      describeLongestLag(status),
      status.store.reachable ? "reachable" : "out of reach",
    ]),
  ]);
}

function describeLongestLag({ laggards }: StatusReport): string {
  if (laggards.length === 0) return "0";
  const longestMs = Math.max(...laggards.map(({ behindMs }) => behindMs));
  return `${laggards.length} for ${Math.round(longestMs)} ms`;
}

function sinceOf({ configuration, nowMs }: StatusReport): string {
  const { sinceMs } = configuration;
  return sinceMs === undefined
    ? "-"
    : `${Math.round((nowMs - sinceMs) / 1_000)}s`;
}

/** One line for each finding, with the entries that it comes from. */
function describeTrouble(
  statuses: readonly StatusReport[],
): readonly string[] {
  const entriesByFinding = new Map<string, string[]>();
  for (const status of statuses) {
    for (const finding of findTrouble(status)) {
      const entries = entriesByFinding.get(finding) ?? [];
      entriesByFinding.set(finding, [...entries, status.entry]);
    }
  }
  return [...entriesByFinding].map(([finding, entries]) =>
    entries.length === statuses.length
      ? finding
      : `${finding} (seen by ${entries.join(", ")})`
  );
}

function findTrouble(status: StatusReport): readonly string[] {
  const { entry, configuration, laggards, store } = status;
  const outage = store.reachable ? [] : ["the store is out of reach"];
  const rejected = configuration.rejected === undefined ? [] : [
    `${entry} cannot use version ${configuration.rejected.version}: ` +
    configuration.rejected.reason,
  ];
  const behind = laggards.map(({ process, version, overdue }) =>
    overdue
      ? `laggard: ${process} has version ${version} and takes no new work`
      : `not yet: ${process} has version ${version}`
  );
  return [
    ...outage,
    ...rejected,
    ...behind,
    ...listNames("expected but not present", status.missingServers),
    ...listNames("present but not in the inventory", status.unexpectedServers),
  ];
}

function listNames(
  what: string,
  names: readonly string[],
): readonly string[] {
  return names.length === 0 ? [] : [`${what}: ${[...names].sort().join(", ")}`];
}
