/** Explains where a job or a task stands, or why an act was done. */
import { err } from "neverthrow";
import type { JobExplanation, TaskExplanation } from "@coltsfootreach/manage";
import type { AutomaticAction } from "@coltsfootreach/types";
import type { Context } from "../../context.ts";
import { askAny } from "../../management.ts";
import { type CommandResult, succeed, UsageError } from "../../report.ts";
import { formatTable, formatTime } from "../../text.ts";

export interface ExplainArguments {
  readonly what: string;
  /** A job's key, a task as KEY/INDEX, or an act's name. */
  readonly name: string;
  /** Needed for jobs and tasks. */
  readonly tenant?: string | undefined;
}

export async function run(
  context: Context,
  { what, name, tenant }: ExplainArguments,
): Promise<CommandResult> {
  if (what === "act") return await explainAct(context, name);
  if (what !== "job" && what !== "task") {
    return err(new UsageError("explain one of job, task, act"));
  }
  if (tenant === undefined) {
    return err(new UsageError(`explain ${what} needs --tenant`));
  }
  return what === "job"
    ? await explainJob(context, { tenant, name })
    : await explainTask(context, { tenant, name });
}

interface NameOfTenant {
  readonly tenant: string;
  readonly name: string;
}

async function explainJob(
  context: Context,
  { tenant, name }: NameOfTenant,
): Promise<CommandResult> {
  const path = `/jobs/${[tenant, name].map(encodeURIComponent).join("/")}`;
  const job = await askAny<JobExplanation>(context, path);
  return job.map((found) => succeed(formatJob(found), found));
}

async function explainTask(
  context: Context,
  { tenant, name }: NameOfTenant,
): Promise<CommandResult> {
  const slash = name.lastIndexOf("/");
  const index = name.slice(slash + 1);
  if (slash < 1 || !/^\d+$/.test(index)) {
    return err(new UsageError("name a task as KEY/INDEX"));
  }
  const parts = [tenant, name.slice(0, slash), index].map(encodeURIComponent);
  const task = await askAny<TaskExplanation>(
    context,
    `/tasks/${parts.join("/")}`,
  );
  return task.map((found) => succeed(formatTasks([found]), found));
}

async function explainAct(
  context: Context,
  id: string,
): Promise<CommandResult> {
  const act = await askAny<AutomaticAction>(
    context,
    `/acts/${encodeURIComponent(id)}`,
  );
  return act.map((found) => succeed(formatAct(found), found));
}

function formatJob(job: JobExplanation): string {
  const left = job.state === "ended"
    ? `${Math.round(job.ageMs)} ms since it was admitted`
    : job.leftMs >= 0
    ? `${Math.round(job.leftMs)} ms left`
    : `${Math.round(-job.leftMs)} ms past its deadline`;
  return [
    `job ${job.key} of ${job.tenant}, class ${job.class}: ${job.state}, ${left}`,
    job.why,
    `owned by ${job.entry} under table version ${job.tableVersion}, ` +
    `configuration version ${job.configurationVersion}`,
    formatTasks(job.tasks),
  ].join("\n");
}

function formatTasks(tasks: readonly TaskExplanation[]): string {
  return formatTable([
    ["TASK", "STATE", "ATTEMPTS", "SIDE", "SERVER", "VERDICT", "WHY"],
    ...tasks.map((task) => [
      task.index,
      task.state,
      task.attempts,
      task.side,
      task.outcome?.server,
      task.outcome?.verdict,
      task.why,
    ]),
  ]);
}

/** Three digits after the point at most. */
function formatFigure(value: number): string {
  return String(Math.round(value * 1000) / 1000);
}

function formatAct(act: AutomaticAction): string {
  const figures = Object.entries(act.figures)
    .map(([name, value]) => `  ${name} = ${formatFigure(value)}`);
  const undone = act.undoneAtMs === undefined
    ? "stands"
    : `undone at ${formatTime(act.undoneAtMs)}`;
  return [
    `${act.kind} ${act.subject} at ${formatTime(act.atMs)}: ${undone}`,
    act.why,
    ...figures,
    `under configuration version ${act.configurationVersion}`,
    ...act.kind === "eject" && act.undoneAtMs === undefined
      ? [`to take it back for good: coltsfootreach undo ${act.id}`]
      : [],
    `to stop this kind of act: coltsfootreach hold ${act.kind}`,
  ].join("\n");
}
