import { sampleQueue, sampleStep } from "@coltsfootreach/standin";
import { expect } from "chai";
import { createLiveJob, type LiveJob } from "./live_job.ts";
import { orderJobs } from "./order.ts";

function live(id: string, dueAt: number, hasStarted = false): LiveJob {
  const job = { id, payload: "", steps: [sampleStep()], timeoutMs: 1000 };
  const created = createLiveJob(job, sampleQueue(), {
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

describe("scheduling order", () => {
  it("places started jobs first, then urgent, late and stale ones", () => {
    const jobs = [
      live("stale", -450),
      live("late", 50),
      live("relaxed", 900),
      live("urgent", 300),
      live("started", 800, true),
    ];
    const ordered = orderJobs(jobs, { now: 0, slowness: 1 });
    expect(ordered.map((ranked) => ranked.live.job.id)).to.deep.equal([
      "started",
      "urgent",
      "relaxed",
      "late",
      "stale",
    ]);
  });
});
