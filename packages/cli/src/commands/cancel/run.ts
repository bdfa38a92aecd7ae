/** Cancels a job; its answer says what had run by then. */
import {
  type EntryChoice,
  type JobName,
  jobPath,
  reportAnswer,
  sendToEntry,
} from "../../caller.ts";
import type { Context } from "../../context.ts";
import { type CommandResult, EXIT_OK } from "../../report.ts";

const TIMEOUT_MS = 60_000;
const HTTP_OK = 200;

export async function run(
  context: Context,
  args: JobName & EntryChoice,
): Promise<CommandResult> {
  const answer = await sendToEntry(context, args, {
    method: "DELETE",
    path: jobPath(args),
    timeoutMs: TIMEOUT_MS,
  });
  return answer.map((received) => {
    const report = reportAnswer(received);
    // A cancelled job ends failed, which is what was asked for.
    return received.status === HTTP_OK
      ? { ...report, exitCode: EXIT_OK }
      : report;
  });
}
