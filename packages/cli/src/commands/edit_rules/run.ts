/**
 * Adds a name to a list of the rules or takes it away. Such an edit stands by
 * itself, so after a conflict it is made again on the newer version.
 */
import { err, ok, type Result } from "neverthrow";
import {
  type Effect,
  planChange,
  type WorkloadSnapshot,
} from "@coltsfootreach/configure";
import { editRules, type RuleEdit } from "@coltsfootreach/inventory";
import type { Configuration } from "@coltsfootreach/types";
import {
  type Edit,
  estateOf,
  formatEffect,
  reportOutcome,
  type Versions,
  withVersions,
} from "../../configuration.ts";
import type { Context } from "../../context.ts";
import {
  type CommandError,
  type CommandResult,
  EXIT_OK,
  type Report,
  succeed,
} from "../../report.ts";
import { readRunning } from "../../running.ts";
import { readVersion } from "../config_show/run.ts";

const ATTEMPTS = 8;

export interface EditRulesArguments extends RuleEdit {
  readonly note: string;
}

export async function run(
  context: Context,
  args: EditRulesArguments,
): Promise<CommandResult> {
  const { running } = await readRunning(context);
  return await withVersions(
    context,
    (versions) => edit(versions, args, running),
  );
}

async function edit(
  versions: Versions,
  args: EditRulesArguments,
  running: WorkloadSnapshot,
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
    const report = await reportOutcome(versions, change, outcome.value);
    const effects = findEffectsOf(current.value, change.text, running);
    return ok(addEffects(report, effects));
  }
}

function findEffectsOf(
  current: Configuration,
  text: string,
  running: WorkloadSnapshot,
): readonly Effect[] {
  const next = estateOf({ version: current.version + 1, text });
  if (next === undefined) return [];
  return planChange(estateOf(current), next, running).effects;
}

function addEffects(report: Report, effects: readonly Effect[]): Report {
  if (report.exitCode !== EXIT_OK) return report;
  return {
    ...report,
    text: [report.text, ...effects.map(formatEffect)].join("\n"),
    data: { ...(report.data as object), effects },
  };
}
