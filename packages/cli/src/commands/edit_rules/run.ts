/**
 * Adds a name to a list of the rules or takes it away. Such an edit stands by
 * itself, so after a conflict it is made again on the newer version.
 */
import { err, ok, type Result } from "neverthrow";
import { editRules, type RuleEdit } from "@coltsfootreach/inventory";
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
  succeed,
} from "../../report.ts";
import { readVersion } from "../config_show/run.ts";

const ATTEMPTS = 8;

export interface EditRulesArguments extends RuleEdit {
  readonly note: string;
}

export async function run(
  context: Context,
  args: EditRulesArguments,
): Promise<CommandResult> {
  return await withVersions(context, (versions) => edit(versions, args));
}

async function edit(
  versions: Versions,
  args: EditRulesArguments,
): Promise<Result<Report, CommandError>> {
  for (let attempt = 1;; attempt++) {
    const current = await readVersion(versions, undefined);
    if (current.isErr()) return err(current.error);
    const { version, text } = current.value;
    const edited = editRules(current.value, args);
    if (edited.isErr()) return err(edited.error);
    if (edited.value === text) {
      const outcome = { kind: "unchanged", version };
      return ok(succeed(`unchanged: so it is in version ${version}`, outcome));
    }
    const change: Edit = {
      text: edited.value,
      baseVersion: version,
      note: args.note,
    };
    const outcome = await versions.apply(change);
    if (outcome.isErr()) return err(outcome.error);
    if (outcome.value.kind === "conflict" && attempt < ATTEMPTS) continue;
    return ok(await reportOutcome(versions, change, outcome.value));
  }
}
