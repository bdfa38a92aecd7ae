/** Shows what a file would change, and what that does to running work. */
import { err, ok, type Result } from "neverthrow";
import { type Plan, planChange } from "@coltsfootreach/configure";
import { parseConfiguration, readBaseVersion } from "@coltsfootreach/inventory";
import { readTextFile } from "@coltsfootreach/settings";
import {
  estateOf,
  formatDifference,
  formatEffect,
  withVersions,
} from "../../configuration.ts";
import type { Context } from "../../context.ts";
import {
  type CommandError,
  type CommandResult,
  succeed,
} from "../../report.ts";
import { readRunning, type RunningReport } from "../../running.ts";

export async function run(
  context: Context,
  file: string,
): Promise<CommandResult> {
  const text = readTextFile(file);
  if (text.isErr()) return err(text.error);
  const next = parseConfiguration({ version: 0, text: text.value }, file);
  if (next.isErr()) return err(next.error);
  const running = await readRunning(context);
  const planned = await withVersions(
    context,
    async ({ repository }): Promise<Result<Plan, CommandError>> =>
      (await repository.readCurrent()).map((current) =>
        planChange(estateOf(current), next.value, running.running)
      ),
  );
  if (planned.isErr()) return err(planned.error);
  const base = readBaseVersion(text.value);
  const plan = planned.value;
  const data = { ...plan, baseVersion: base, runningWork: running.known };
  return ok(succeed(formatPlan(plan, { base, running }), data));
}

interface PlanContext {
  readonly base: number | undefined;
  readonly running: RunningReport;
}

function formatPlan(plan: Plan, { base, running }: PlanContext): string {
  const { fromVersion, differences, effects } = plan;
  const stale = base !== undefined && base !== fromVersion
    ? [`warning: the file was edited from version ${base}; apply will refuse`]
    : [];
  const unknown = running.known
    ? []
    : [`warning: running work is unknown: ${running.reason}`];
  const changes = differences.length === 0
    ? ["nothing changes"]
    : differences.map(formatDifference);
  const consequences = effects.map(formatEffect);
  return [
    `from version ${fromVersion}:`,
    ...changes,
    ...(consequences.length === 0 ? [] : ["effects:", ...consequences]),
    ...stale,
    ...unknown,
  ].join("\n");
}
