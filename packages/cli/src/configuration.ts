/** What the configuration commands share. */
import { err, type Result } from "neverthrow";
import {
  applyChange,
  type ApplyOutcome,
  type ConfigurationRecord,
  type ConfigurationRepository,
  createConfigurationKeys,
  createConfigurationRepository,
  type Difference,
  type Effect,
  findDifferences,
  type ReadError,
} from "@coltsfootreach/configure";
import { parseConfiguration } from "@coltsfootreach/inventory";
import type { Configuration, ParsedConfiguration } from "@coltsfootreach/types";
import type { Context } from "./context.ts";
import { CommandFailed, fail, type Report, succeed } from "./report.ts";
import { formatTime, formatValue } from "./text.ts";

/** The store of one fleet, opened for one command. */
export interface Versions {
  readonly repository: ConfigurationRepository;
  apply(edit: Edit): Promise<Result<ApplyOutcome, ReadError>>;
}

export interface Edit {
  readonly text: string;
  readonly baseVersion: number;
  readonly note: string;
}

/** Opens the store for as long as `use` takes. */
export async function withVersions<Value, Fault>(
  context: Context,
  use: (versions: Versions) => Promise<Result<Value, Fault>>,
): Promise<Result<Value, Fault | ReadError | CommandFailed>> {
  const settings = context.settings();
  if (settings.isErr()) return err(settings.error);
  const section = settings.value.store;
  if (section === undefined) {
    return err(new CommandFailed("the settings have no [store] section"));
  }
  const { store, close } = context.connectStore(section);
  const keys = createConfigurationKeys(section.prefix);
  const repository = createConfigurationRepository({ store, keys });
  try {
    return await use({
      repository,
      apply: (edit) =>
        applyChange({ store, keys, check: parseConfiguration }, {
          ...edit,
          author: context.author,
          token: context.newToken(),
          atMs: context.now(),
        }),
    });
  } finally {
    await close();
  }
}

/** The estate of a configuration; an absent one has none. */
export function estateOf(
  configuration: Configuration | undefined,
): ParsedConfiguration | undefined {
  if (configuration === undefined) return undefined;
  return parseConfiguration(configuration).unwrapOr(undefined);
}

/** Says what became of a change, with the difference after a conflict. */
export async function reportOutcome(
  versions: Versions,
  edit: Edit,
  outcome: ApplyOutcome,
): Promise<Report> {
  switch (outcome.kind) {
    case "accepted":
      return succeed(`accepted as version ${outcome.version}`, outcome);
    case "unchanged":
      return succeed(
        `unchanged: version ${outcome.version} has this text already`,
        outcome,
      );
    case "unknown":
      return fail(
        `unknown: the store gave no answer; version ${outcome.version} may ` +
          "be in force now or later. Run the same command again to find out",
        outcome,
      );
    case "conflict":
      return await reportConflict(versions, edit, outcome.current);
  }
}

async function reportConflict(
  versions: Versions,
  edit: Edit,
  current: ConfigurationRecord,
): Promise<Report> {
  const differences = await differencesSince(versions, edit, current);
  const lines = [
    `conflict: nothing was changed. The edit is based on version ` +
    `${edit.baseVersion}, but ${describeRecord(current)} is in force.`,
    ...differences === undefined
      ? []
      : ["Since then:", ...differences.map(formatDifference)],
  ];
  const { version, author, atMs, note } = current;
  return fail(lines.join("\n"), {
    kind: "conflict",
    baseVersion: edit.baseVersion,
    current: { version, author, atMs, note },
    differences,
  });
}

/** What others changed; undefined when a version cannot be read any more. */
async function differencesSince(
  { repository }: Versions,
  { baseVersion }: Edit,
  current: ConfigurationRecord,
): Promise<readonly Difference[] | undefined> {
  const base = await repository.readVersion(baseVersion);
  const record = base.unwrapOr(undefined);
  if (record === undefined) return undefined;
  const before = await repository.readText(record);
  const after = await repository.readText(current);
  const from = before.map(estateOf).unwrapOr(undefined);
  const to = after.map(estateOf).unwrapOr(undefined);
  return to === undefined ? undefined : findDifferences(from, to);
}

export function describeRecord(
  { version, author, atMs, note }: ConfigurationRecord,
): string {
  const suffix = note === "" ? "" : ` (${note})`;
  return `version ${version} by ${author} at ${formatTime(atMs)}${suffix}`;
}

export function formatEffect({ severity, subject, text }: Effect): string {
  return `  ${severity}: ${subject} ${text}`;
}

const SIGN = { added: "+", removed: "-", changed: "~" } as const;

export function formatDifference(difference: Difference): string {
  const { section, name, change, fields } = difference;
  const details = fields.map(({ field, from, to }) =>
    `${field} ${formatValue(from)} -> ${formatValue(to)}`
  ).join(", ");
  const suffix = details === "" ? "" : `: ${details}`;
  return `  ${SIGN[change]} ${section} ${name}${suffix}`;
}
