/** Gives a job that was not answered in time one cause out of a closed list. */
import type { AnsweredJob } from "./log_lines.ts";

/**
 * - `returnedTooLate`: refused, since its caller came back after a lost
 *   connection with too little time left.
 * - `noRoomPredicted`: refused, since the work ahead would have taken too long.
 * - `heldThenRefused`: waited for room until its answer would be of no use.
 * - `notServing`: refused by an entry that stops or has no server for it.
 * - `runsFailed`: runs failed, and the repeated ones ended late or not at all.
 * - `runsRepeated`: offers were refused or runs lost, and repeated.
 * - `waitedForRoom`: late by no more than it had waited for its first offer.
 * - `ranLong`: started in time and ran longer than estimated.
 * - `timedOut`: started, and had not ended when the caller's time was up.
 */
export type Cause =
  | "returnedTooLate"
  | "noRoomPredicted"
  | "heldThenRefused"
  | "notServing"
  | "runsFailed"
  | "runsRepeated"
  | "waitedForRoom"
  | "ranLong"
  | "timedOut";

/** Returns undefined for a job that was completed in time. */
export function causeOf(job: AnsweredJob): Cause | undefined {
  if (job.answer === "completed" && job.lateMs <= 0) return undefined;
  if (job.answer.startsWith("refused")) return refusalCause(job);
  if (job.failures > 0) return "runsFailed";
  if (job.answer === "timedOut") return "timedOut";
  const tasks = job.submission?.tasks ?? job.runs;
  if (job.runs > tasks) return "runsRepeated";
  return job.waitMs >= job.lateMs ? "waitedForRoom" : "ranLong";
}

function refusalCause(job: AnsweredJob): Cause {
  if (job.answer !== "refused: overload") return "notServing";
  if (job.isWaitPredicted) return "noRoomPredicted";
  const ageMs = job.submission?.ageMs ?? 0;
  return ageMs > 0 ? "returnedTooLate" : "heldThenRefused";
}

/** Number of jobs by queue and cause. */
export type CauseTable = ReadonlyMap<string, ReadonlyMap<Cause, number>>;

export function countCauses(jobs: readonly AnsweredJob[]): CauseTable {
  const table = new Map<string, Map<Cause, number>>();
  for (const job of jobs) {
    const cause = causeOf(job);
    if (cause === undefined) continue;
    const counts = table.get(job.queue) ?? new Map<Cause, number>();
    counts.set(cause, (counts.get(cause) ?? 0) + 1);
    table.set(job.queue, counts);
  }
  return table;
}
