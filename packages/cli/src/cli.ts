/**
 * Parses a command line, runs its command and writes what came of it: a report
 * to standard output, or one line to standard error.
 */
import { existsSync } from "node:fs";
import { err, type Result } from "neverthrow";
import { type CAC, cac } from "cac";
import { InvalidFile, StoreUnavailable } from "@coltsfootreach/errors";
import {
  DOCUMENT_ROOT_KEY,
  type OperatorSettings,
  readOperatorSettings,
} from "@coltsfootreach/settings";
import packageFile from "../package.json" with { type: "json" };
import { COMMANDS, type Options } from "./commands.ts";
import type { Context } from "./context.ts";
import {
  type CommandError,
  type CommandResult,
  EXIT_OK,
  type ExitCode,
  exitCodeOf,
  UsageError,
} from "./report.ts";

const PROGRAM = "coltsfootreach";
const SETTINGS_VARIABLE = "COLTSFOOTREACH_SETTINGS";
/** Options before a command whose value is the next word. */
const VALUE_OPTIONS = ["--settings", "--author"];
const DEFAULT_SETTINGS = "coltsfootreach.toml";

/** The process around the command line. */
export interface World extends Omit<Context, "settings" | "author"> {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Writes one text with a line break after it. */
  out(text: string): void;
  err(text: string): void;
}

/** `args` are those after the program's name. */
export async function runCli(
  args: readonly string[],
  world: World,
): Promise<ExitCode> {
  const parser = createParser(args);
  const run = parse(parser, args);
  if (run === undefined) return EXIT_OK;
  const json = parser.parser.options.json === true;
  const result = await run(world);
  return result.match(
    (report) => {
      world.out(json ? JSON.stringify(report.data, null, 2) : report.text);
      return report.exitCode;
    },
    (error) => {
      world.err(json ? formatErrorJson(error) : formatError(error));
      return exitCodeOf(error);
    },
  );
}

/** A parsed command line, ready to run. */
type Run = (world: World) => CommandResult | Promise<CommandResult>;

/** The library calls back with the command that it found. */
interface Parser {
  readonly parser: CAC;
  found(): Run | undefined;
}

function createParser(words: readonly string[]): Parser {
  const parser = cac(PROGRAM);
  let found: Run | undefined;
  parser.option("--settings <file>", "Settings of the command line");
  parser.option("--author <name>", "Who makes the change");
  parser.option("--json", "Write JSON");
  for (const command of COMMANDS) {
    const added = parser.command(command.usage, command.description);
    for (const option of command.options ?? []) {
      added.option(option.name, option.description);
    }
    added.action((...values: unknown[]) => {
      const options = restoreTexts(values.at(-1) as Options, words);
      const args = values.slice(0, -1)
        .filter((value) => value !== undefined).map(String);
      found = (world) =>
        command.run({ context: createContext(world, options), args, options });
    });
  }
  parser.help((sections) =>
    sections.filter(({ title }) => !title?.startsWith("For more info"))
  );
  parser.version(packageFile.version);
  return { parser, found: () => found };
}

/** The library makes numbers of values such as `007`; this undoes that. */
function restoreTexts(options: Options, words: readonly string[]): Options {
  const texts = Object.entries(options).map(([name, value]) =>
    [name, typeof value === "number" ? findText(name, words) : value] as const
  );
  return Object.fromEntries(texts);
}

/** The last value of an option as it was typed. */
function findText(name: string, words: readonly string[]): string | undefined {
  const flag = `--${name}`;
  const at = words.findLastIndex((word) =>
    word === flag || word.startsWith(`${flag}=`)
  );
  const word = words[at] ?? "";
  return word === flag ? words[at + 1] : word.slice(flag.length + 1);
}

/** Undefined after help or version has been shown. */
function parse(
  { parser, found }: Parser,
  args: readonly string[],
): Run | undefined {
  try {
    parser.parse(["node", PROGRAM, ...joinWords(args)], { run: false });
    if (parser.options.help || parser.options.version) return undefined;
    parser.runMatchedCommand();
  } catch (error) {
    return refuse(error instanceof Error ? error.message : String(error));
  }
  return found() ?? refuse(describeUnknown(parser.args));
}

function refuse(reason: string): Run {
  return () => err(new UsageError(reason));
}

function describeUnknown(args: readonly string[]): string {
  return args.length === 0
    ? `no command; see ${PROGRAM} --help`
    : `unknown command "${args.join(" ")}"; see ${PROGRAM} --help`;
}

/** The library matches one word only, so `config check` becomes one word. */
function joinWords(args: readonly string[]): readonly string[] {
  const at = args.findIndex((word, index) =>
    word === "config" && !VALUE_OPTIONS.includes(args[index - 1] ?? "")
  );
  const second = args[at + 1];
  if (at < 0 || second === undefined || second.startsWith("-")) return args;
  return [...args.slice(0, at), `config ${second}`, ...args.slice(at + 2)];
}

function createContext(world: World, options: Options): Context {
  const { env } = world;
  const file = options.settings ?? env[SETTINGS_VARIABLE];
  const author = options.author ?? env.USER ?? env.LOGNAME ?? "unknown";
  return {
    ...world,
    settings: () =>
      file === undefined
        ? readDefaultSettings()
        : readOperatorSettings(String(file)),
    author: String(author),
  };
}

function readDefaultSettings(): Result<OperatorSettings, InvalidFile> {
  if (existsSync(DEFAULT_SETTINGS)) {
    return readOperatorSettings(DEFAULT_SETTINGS);
  }
  const reason = `not found; give --settings or set ${SETTINGS_VARIABLE}`;
  return err(new InvalidFile(DEFAULT_SETTINGS, DOCUMENT_ROOT_KEY, reason));
}

function formatError(error: CommandError): string {
  const line = error.message.replaceAll(/\s*\n\s*/g, " ");
  return error instanceof StoreUnavailable
    ? `${PROGRAM}: the store gave no answer: ${line}`
    : `${PROGRAM}: ${line}`;
}

function formatErrorJson(error: CommandError): string {
  return JSON.stringify({ error: error.name, reason: error.message });
}
