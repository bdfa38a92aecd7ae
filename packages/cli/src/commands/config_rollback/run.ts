/** Puts an earlier text in force again, as a new version. */
import { err, ok, type Result } from "neverthrow";
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
} from "../../report.ts";
import { readVersion } from "../config_show/run.ts";

export async function run(
  context: Context,
  version: number,
): Promise<CommandResult> {
  return await withVersions(
    context,
    (versions) => rollBack(versions, version),
  );
}

async function rollBack(
  versions: Versions,
  version: number,
): Promise<Result<Report, CommandError>> {
  const earlier = await readVersion(versions, version);
  if (earlier.isErr()) return err(earlier.error);
  const current = await readVersion(versions, undefined);
  if (current.isErr()) return err(current.error);
  const edit: Edit = {
    text: earlier.value.text,
    baseVersion: current.value.version,
    note: `roll back to version ${version}`,
  };
  const outcome = await versions.apply(edit);
  if (outcome.isErr()) return err(outcome.error);
  return ok(await reportOutcome(versions, edit, outcome.value));
}
