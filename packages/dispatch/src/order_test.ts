import { sampleQueue, sampleStep } from "@coltsfootreach/standin";
import { expect } from "chai";
import { createLiveJob, type LiveJob } from "./live_job.ts";
import { orderJobs } from "./order.ts";

interface Overrides {
  readonly hasStarted?: boolean;
  readonly priority?: number;
}

function live(
  id: string,
  dueAt: number,
  { hasStarted = false, priority = 0 }: Overrides = {},
): LiveJob {
  const job = { id, payload: "", steps: [sampleStep()], timeoutMs: 1000 };
  const created = createLiveJob(job, sampleQueue({ priority }), {
    submission: 1,
    arrivedAt: 0,
    dueAt,
    staleAt: dueAt + 500,
    timeoutAt: 5000,
    remainingPathMs: [100],
  });
  created.mayHaveRun = hasStarted;
  return created;
}

function orderOf(jobs: readonly LiveJob[]): readonly string[] {
  return orderJobs(jobs, { now: 0, slowness: 1 })
    .map((ranked) => ranked.live.job.id);
}

describe("scheduling order", () => {
  it("places started jobs first, then urgent, late and stale ones", () => {
    const jobs = [
      live("stale", -450),
      live("late", 50),
      live("relaxed", 900),
      live("urgent", 300),
      live("started", 800, { hasStarted: true }),
    ];
    expect(orderOf(jobs)).to.deep.equal([
      "started",
      "urgent",
      "relaxed",
      "late",
      "stale",
    ]);
  });

  it("places jobs of one rank by priority, then by required start", () => {
    const jobs = [
      live("low", 300, { priority: 2 }),
      live("relaxed", 900, { priority: 1 }),
      live("urgent", 400, { priority: 1 }),
      live("high", 950, { priority: 0 }),
    ];
    expect(orderOf(jobs)).to.deep.equal(["high", "urgent", "relaxed", "low"]);
  });

  it("places a late job of high priority after one that can be in time", () => {
    const jobs = [
      live("late", 50, { priority: 0 }),
      live("inTime", 300, { priority: 2 }),
    ];
    expect(orderOf(jobs)).to.deep.equal(["inTime", "late"]);
  });
});
