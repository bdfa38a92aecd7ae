/** Command line of the daemon: `coltsfootreachd entry|side --settings FILE`. */
import process from "node:process";
import { cac } from "cac";
import { readSettings } from "@coltsfootreach/settings";
import { runEntry } from "./run_entry.ts";
import { runSide } from "./run_side.ts";
import { installSignalHandlers } from "./signals.ts";

const VERSION = "0.1.0";

const EXIT_FAILED = 1;

const EXIT_USAGE = 2;

interface Flags {
  readonly settings?: string;
}

function fail(reason: string, code: number): never {
  process.stderr.write(`coltsfootreachd: ${reason}\n`);
  process.exit(code);
}

async function run(role: "entry" | "side", flags: Flags): Promise<void> {
  if (flags.settings === undefined) fail("missing --settings FILE", EXIT_USAGE);
  const settings = readSettings(flags.settings);
  if (settings.isErr()) fail(settings.error.message, EXIT_FAILED);
  const { value } = settings;
  if (value.role !== role) {
    fail(
      `${flags.settings}: role: "${value.role}" does not match the command`,
      EXIT_FAILED,
    );
  }
  installSignalHandlers();
  try {
    if (value.role === "entry") await runEntry(value);
    else await runSide(value);
  } catch (error) {
    fail(error instanceof Error ? error.message : String(error), EXIT_FAILED);
  }
}

const cli = cac("coltsfootreachd");
cli.command("entry", "Takes jobs from callers and places their tasks")
  .option("--settings <file>", "Settings file in TOML")
  .action((flags: Flags) => run("entry", flags));
cli.command("side", "Runs tasks on the backend server of this VM")
  .option("--settings <file>", "Settings file in TOML")
  .action((flags: Flags) => run("side", flags));
cli.command("").action(() => {
  cli.outputHelp();
  process.exit(EXIT_USAGE);
});
cli.help();
cli.version(VERSION);

try {
  cli.parse(process.argv, { run: false });
  await cli.runMatchedCommand();
} catch (error) {
  fail(error instanceof Error ? error.message : String(error), EXIT_USAGE);
}
