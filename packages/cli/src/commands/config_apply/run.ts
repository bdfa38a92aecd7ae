/** Makes a file the next configuration version. */
import { err, ok, type Result } from "neverthrow";
import { digestOf } from "@coltsfootreach/configure";
import { readBaseVersion, removeBaseVersion } from "@coltsfootreach/inventory";
import { readTextFile } from "@coltsfootreach/settings";
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
  const read = readTextFile(args.file);
  if (read.isErr()) return err(read.error);
  const applied = await withVersions(
    context,
    (versions) => apply(versions, args, read.value),
  );
  if (applied.isErr() || args.waitMs === undefined) return applied;
  const wait = { applied: applied.value, waitMs: args.waitMs };
  return ok(await waitUntilInForce(context, wait));
}

async function apply(
  versions: Versions,
  args: ApplyArguments,
  text: string,
): Promise<Result<Report, CommandError>> {
  const bare = removeBaseVersion(text);
  const named = args.base ?? readBaseVersion(text);
  const base = named === undefined
    ? await findBase(versions, args, bare)
    : ok(named);
  if (base.isErr()) return err(base.error);
  const edit: Edit = {
    text: bare,
    baseVersion: base.value,
    note: args.note,
  };
  const outcome = await versions.apply(edit);
  if (outcome.isErr()) return err(outcome.error);
  return ok(await reportOutcome(versions, edit, outcome.value));
}

/**
 * A text without a base version may be the first one, or one that is in force
 * already because an earlier try went through unnoticed.
 */
async function findBase(
  { repository }: Versions,
  { file }: ApplyArguments,
  text: string,
): Promise<Result<number, CommandError>> {
  const head = await repository.readHead();
  if (head.isErr()) return err(head.error);
  if (head.value === undefined) return ok(0);
  const { version, digest } = head.value.record;
  if (digest === digestOf(text)) return ok(version);
  return err(
    new UsageError(
      `${file} does not say which version it was edited from; give --base ` +
        `(version ${version} is in force)`,
    ),
  );
}
