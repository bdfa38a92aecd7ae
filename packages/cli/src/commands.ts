/** The commands as the command line names them; each has a folder with its run. */
import { err, ok, type Result } from "neverthrow";
import { parseDuration } from "@coltsfootreach/settings";
import { ACTION_KINDS, type ActionKind } from "@coltsfootreach/types";
import type { RuleList } from "@coltsfootreach/inventory";
import { run as acts } from "./commands/acts/run.ts";
import { run as cancel } from "./commands/cancel/run.ts";
import { run as checkSettings } from "./commands/check_settings/run.ts";
import { run as configApply } from "./commands/config_apply/run.ts";
import { run as configCheck } from "./commands/config_check/run.ts";
import { run as configHistory } from "./commands/config_history/run.ts";
import { run as configImport } from "./commands/config_import/run.ts";
import { run as configPlan } from "./commands/config_plan/run.ts";
import { run as configRollback } from "./commands/config_rollback/run.ts";
import { run as configShow } from "./commands/config_show/run.ts";
import { run as configStatus } from "./commands/config_status/run.ts";
import { run as editRules } from "./commands/edit_rules/run.ts";
import { run as explain } from "./commands/explain/run.ts";
import { run as read } from "./commands/read/run.ts";
import { run as submit } from "./commands/submit/run.ts";
import { run as top } from "./commands/top/run.ts";
import { run as undo } from "./commands/undo/run.ts";
import type { Context } from "./context.ts";
import { type CommandResult, UsageError } from "./report.ts";

/** Options as the library hands them over, by name. */
export type Options = Readonly<Record<string, unknown>>;

export interface Option {
  readonly name: string;
  readonly description: string;
}

export interface Invocation {
  readonly context: Context;
  readonly args: readonly string[];
  readonly options: Options;
}

export interface Command {
  /** Its words and arguments, such as `config check <file>`. */
  readonly usage: string;
  readonly description: string;
  readonly options?: readonly Option[];
  run(invocation: Invocation): CommandResult | Promise<CommandResult>;
}

const DEFAULT_WAIT_MS = 30_000;

const ENTRY: Option = {
  name: "--entry <origin>",
  description: "Entry to use instead of those in the settings",
};
const TENANT: Option = {
  name: "--tenant <name>",
  description: "Tenant that the job belongs to",
};

export const COMMANDS: readonly Command[] = [
  {
    usage: "config check <file>",
    description: "Check a configuration file",
    run: ({ args }) => configCheck(args[0]!),
  },
  {
    usage: "config plan <file>",
    description: "Show what a file would change and do to running work",
    run: ({ context, args }) => configPlan(context, args[0]!),
  },
  {
    usage: "config apply <file>",
    description: "Make a file the next configuration version",
    options: [
      { name: "--base <version>", description: "Version it was edited from" },
      { name: "--note <text>", description: "Note kept with the version" },
      {
        name: "--wait [duration]",
        description: "Wait until it is in force everywhere (default 30s)",
      },
    ],
    run: applyFile,
  },
  {
    usage: "config show [version]",
    description: "Print a version, ready to be edited",
    run: ({ context, args }) =>
      withResult(
        args[0] === undefined ? ok(undefined) : parseVersion(args[0]),
        (version) => configShow(context, version),
      ),
  },
  {
    usage: "config status",
    description: "Show the version in force per process, and laggards",
    run: ({ context }) => configStatus(context),
  },
  {
    usage: "config history",
    description: "List the kept versions",
    run: ({ context }) => configHistory(context),
  },
  {
    usage: "config rollback <version>",
    description: "Put an earlier version in force again, as a new one",
    run: ({ context, args }) =>
      withResult(
        parseVersion(args[0]!),
        (version) => configRollback(context, version),
      ),
  },
  {
    usage: "config import <register>",
    description: "Make a configuration of an asset register's CSV export",
    options: [{
      name: "--into <file>",
      description: "Configuration with tenants, classes, rules and delays",
    }],
    run: importFile,
  },
  {
    usage: "hold <kind>",
    description: "Stop a kind of automatic act",
    run: (invocation) => holdKind(invocation, true),
  },
  {
    usage: "release <kind>",
    description: "Allow a kind of automatic act again",
    run: (invocation) => holdKind(invocation, false),
  },
  {
    usage: "drain <server>",
    description: "Give a backend server no new work",
    run: editList("drained", { listed: true, verb: "drain" }),
  },
  {
    usage: "undrain <server>",
    description: "Give a backend server work again",
    run: editList("drained", { listed: false, verb: "undrain" }),
  },
  {
    usage: "gone <entry>",
    description: "Declare an entry's incarnation gone for good",
    run: editList("gone", { listed: true, verb: "gone" }),
  },
  {
    usage: "undo <act>",
    description: "Undo an automatic act, lastingly",
    run: ({ context, args }) => undo(context, args[0]!),
  },
  {
    usage: "acts",
    description: "List automatic acts",
    run: ({ context }) => acts(context),
  },
  {
    usage: "explain <what> <name>",
    description: "Explain a job KEY, a task KEY/INDEX or an act ID",
    options: [TENANT],
    run: ({ context, args, options }) =>
      explain(context, {
        what: args[0]!,
        name: args[1]!,
        tenant: textOf(options.tenant),
      }),
  },
  {
    usage: "top",
    description: "Show tenants, backend servers and response times",
    run: ({ context }) => top(context),
  },
  {
    usage: "submit <file>",
    description: "Submit the job in a JSON file and print its answer",
    options: [
      ENTRY,
      TENANT,
      { name: "--key <key>", description: "Key of the submission" },
      { name: "--no-wait", description: "Do not wait for the answer" },
    ],
    run: ({ context, args, options }) =>
      submit(context, {
        file: args[0]!,
        entry: textOf(options.entry),
        key: textOf(options.key),
        tenant: textOf(options.tenant),
        wait: options.wait !== false,
      }),
  },
  {
    usage: "read <key>",
    description: "Read where a job stands, or its answer",
    options: [ENTRY, TENANT],
    run: (invocation) => withJob(invocation, read),
  },
  {
    usage: "cancel <key>",
    description: "Cancel a job",
    options: [ENTRY, TENANT],
    run: (invocation) => withJob(invocation, cancel),
  },
  {
    usage: "check-settings <file>",
    description: "Check a settings file of an entry, a side or an operator",
    run: ({ args }) => checkSettings(args[0]!),
  },
];

function applyFile(
  { context, args, options }: Invocation,
): CommandResult | Promise<CommandResult> {
  const base: Result<number | undefined, UsageError> =
    options.base === undefined
      ? ok(undefined)
      : parseVersion(String(options.base));
  return withResult(
    base.andThen((version) =>
      parseWait(options.wait).map((waitMs) => ({ version, waitMs }))
    ),
    ({ version, waitMs }) =>
      configApply(context, {
        file: args[0]!,
        base: version,
        note: textOf(options.note) ?? "",
        waitMs,
      }),
  );
}

function importFile({ args, options }: Invocation): CommandResult {
  const into = textOf(options.into);
  if (into === undefined) {
    return err(new UsageError("config import needs --into"));
  }
  return configImport({ register: args[0]!, into });
}

function holdKind(
  { context, args }: Invocation,
  listed: boolean,
): CommandResult | Promise<CommandResult> {
  const kind = args[0]!;
  if (!ACTION_KINDS.includes(kind as ActionKind)) {
    const kinds = ACTION_KINDS.join(", ");
    return err(new UsageError(`"${kind}" is none of ${kinds}`));
  }
  const note = `${listed ? "hold" : "release"} ${kind}`;
  return editRules(context, { list: "held", name: kind, listed, note });
}

function editList(
  list: RuleList,
  { listed, verb }: { readonly listed: boolean; readonly verb: string },
) {
  return ({ context, args }: Invocation) => {
    const name = args[0]!;
    return editRules(context, { list, name, listed, note: `${verb} ${name}` });
  };
}

function withJob(
  { context, args, options }: Invocation,
  run: typeof read,
): CommandResult | Promise<CommandResult> {
  const tenant = textOf(options.tenant);
  if (tenant === undefined) return err(new UsageError("give --tenant"));
  const entry = textOf(options.entry);
  return run(context, { tenant, key: args[0]!, entry });
}

function withResult<Value>(
  result: Result<Value, UsageError>,
  run: (value: Value) => CommandResult | Promise<CommandResult>,
): CommandResult | Promise<CommandResult> {
  return result.isErr() ? err(result.error) : run(result.value);
}

function parseVersion(text: string): Result<number, UsageError> {
  return /^\d+$/.test(text)
    ? ok(Number(text))
    : err(new UsageError(`"${text}" is no version`));
}

/** `--wait` stands alone or with a duration. */
function parseWait(value: unknown): Result<number | undefined, UsageError> {
  if (value === undefined || value === false) return ok(undefined);
  if (value === true) return ok(DEFAULT_WAIT_MS);
  const waitMs = parseDuration(String(value));
  return waitMs === undefined
    ? err(new UsageError(`"${value}" is no duration; write for example 30s`))
    : ok(waitMs);
}

function textOf(value: unknown): string | undefined {
  return value === undefined ? undefined : String(value);
}
