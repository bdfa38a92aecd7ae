import { expect } from "chai";
import { type Cause, causeOf, countCauses } from "./cause.ts";
import { readLog } from "./log_lines.ts";

interface SavedJob {
  readonly answer?: string;
  readonly figures?: Readonly<Record<string, number>>;
  readonly ageMs?: number;
  readonly isWaitPredicted?: boolean;
}

/** Log lines of one job of two tasks, as they are saved. */
function linesOf({ answer, figures, ageMs, isWaitPredicted }: SavedJob) {
  const job = { name: "entry-1", job: "5c0e", queue: "short" };
  const lines = [
    {
      ...job,
      message: "job submitted",
      figures: { tasks: 2, ageMs: ageMs ?? 0 },
    },
    {
      ...job,
      message: "job answered",
      reason: answer ?? "completed",
      figures: { lateMs: 100, waitMs: 0, runs: 2, failures: 0, ...figures },
    },
  ].map((line) => `  1.5 entry-1 ${JSON.stringify(line)}`);
  if (!isWaitPredicted) return lines;
  const prediction = {
    ...job,
    message: "refusing job: predicted queue wait is too long",
  };
  return [...lines.slice(0, 1), JSON.stringify(prediction), ...lines.slice(1)];
}

function cause(job: SavedJob): Cause | undefined {
  return causeOf(readLog(linesOf(job)).answered[0]!);
}

describe("the cause of a job that was not answered in time", () => {
  it("is none if the job was completed in time", () => {
    expect(cause({ figures: { lateMs: -5 } })).to.equal(undefined);
  });

  it("tells refusals apart", () => {
    const answer = "refused: overload";
    expect(cause({ answer, ageMs: 900 })).to.equal("returnedTooLate");
    expect(cause({ answer })).to.equal("heldThenRefused");
    expect(cause({ answer, isWaitPredicted: true }))
      .to.equal("noRoomPredicted");
    expect(cause({ answer: "refused: stopping" })).to.equal("notServing");
  });

  it("tells waiting, repeated, failed and long runs apart", () => {
    expect(cause({ figures: { waitMs: 120 } })).to.equal("waitedForRoom");
    expect(cause({ figures: { runs: 3 } })).to.equal("runsRepeated");
    expect(cause({ figures: { failures: 1 } })).to.equal("runsFailed");
    expect(cause({})).to.equal("ranLong");
    expect(cause({ answer: "timedOut" })).to.equal("timedOut");
  });

  it("is counted by queue, and lines out of the range are left out", () => {
    const lines = [...linesOf({}), "not a log line", '1.5 {"cut off'];
    const counts = (from: number, to: number) =>
      countCauses(readLog(lines, { from, to }).answered);
    expect(counts(1, 2).get("short")?.get("ranLong")).to.equal(1);
    expect(counts(2, 3).size).to.equal(0);
  });
});
