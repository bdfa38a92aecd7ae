/** Makes a file the next configuration version. */
import { err, ok, type Result } from "neverthrow";
import { readBaseVersion, removeBaseVersion } from "@coltsfootreach/inventory";
import { readText } from "@coltsfootreach/settings";
import {
  type Edit,
  reportOutcome,
  type Versions,
  withVersions,
} from "../../configuration.ts";
import type { Context } from "../../context.ts";
import {
  type CommandError,
  type CommandResult,
  type Report,
  UsageError,
} from "../../report.ts";
import { waitUntilInForce } from "../../wait.ts";

export interface ApplyArguments {
  readonly file: string;
  /** Overrides the base version that the file names. */
  readonly base?: number | undefined;
  readonly note: string;
  /** How long to wait until it is in force everywhere; undefined for not. */
  readonly waitMs?: number | undefined;
}

export async function run(
  context: Context,
  args: ApplyArguments,
): Promise<CommandResult> {
  const read = readText(args.file);
  if (read.isErr()) return err(read.error);
  const applied = await withVersions(
    context,
    (versions) => apply(versions, args, read.value),
  );
  if (applied.isErr() || args.waitMs === undefined) return applied;
  return ok(await waitUntilInForce(context, applied.value, args.waitMs));
}

async function apply(
  versions: Versions,
  args: ApplyArguments,
  text: string,
): Promise<Result<Report, CommandError>> {
  const base = await findBase(versions, args, text);
  if (base.isErr()) return err(base.error);
  const edit: Edit = {
    text: removeBaseVersion(text),
    baseVersion: base.value,
    note: args.note,
  };
  const outcome = await versions.apply(edit);
  if (outcome.isErr()) return err(outcome.error);
  return ok(await reportOutcome(versions, edit, outcome.value));
}

async function findBase(
  { repository }: Versions,
  { file, base }: ApplyArguments,
  text: string,
): Promise<Result<number, CommandError>> {
  const named = base ?? readBaseVersion(text);
  if (named !== undefined) return ok(named);
  const head = await repository.readHead();
  if (head.isErr()) return err(head.error);
  if (head.value === undefined) return ok(0);
  return err(
    new UsageError(
      `${file} does not say which version it was edited from; give --base ` +
        `(version ${head.value.record.version} is in force)`,
    ),
  );
}
