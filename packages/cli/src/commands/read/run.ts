/** Reads where a job stands, or its answer. */
import {
  type EntryChoice,
  type JobName,
  jobPath,
  reportAnswer,
  sendToEntry,
} from "../../caller.ts";
import type { Context } from "../../context.ts";
import type { CommandResult } from "../../report.ts";

const TIMEOUT_MS = 60_000;

export async function run(
  context: Context,
  args: JobName & EntryChoice,
): Promise<CommandResult> {
  const answer = await sendToEntry(context, args, {
    method: "GET",
    path: jobPath(args),
    timeoutMs: TIMEOUT_MS,
  });
  return answer.map(reportAnswer);
}
