/** Prints a version's text, ready to be edited and applied. */
import { err, ok, type Result } from "neverthrow";
import { withBaseVersion } from "@coltsfootreach/inventory";
import type { Configuration } from "@coltsfootreach/types";
import { type Versions, withVersions } from "../../configuration.ts";
import type { Context } from "../../context.ts";
import {
  type CommandError,
  CommandFailed,
  type CommandResult,
  succeed,
} from "../../report.ts";

/** Without a version the one in force is shown. */
export async function run(
  context: Context,
  version: number | undefined,
): Promise<CommandResult> {
  const shown = await withVersions(
    context,
    (versions) => readVersion(versions, version),
  );
  return shown.map((configuration) =>
    succeed(withBaseVersion(configuration).trimEnd(), configuration)
  );
}

/** Reads a kept version, or the one in force. */
export async function readVersion(
  { repository }: Versions,
  version: number | undefined,
): Promise<Result<Configuration, CommandError>> {
  if (version === undefined) {
    const current = await repository.readCurrent();
    return current.andThen((found) =>
      found === undefined
        ? err(new CommandFailed("there is no configuration yet"))
        : ok(found)
    );
  }
  const record = await repository.readVersion(version);
  if (record.isErr()) return err(record.error);
  if (record.value === undefined) {
    return err(new CommandFailed(`version ${version} is not kept`));
  }
  return await repository.readText(record.value);
}
