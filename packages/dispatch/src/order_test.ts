import type { Queue } from "@coltsfootreach/run";
import { expect } from "chai";
import { createLiveJob, type LiveJob } from "./live_job.ts";
import { orderJobs } from "./order.ts";

const QUEUE = { name: "q" } as Queue;

function live(id: string, dueAt: number, hasBegun = false): LiveJob {
  const step = {
    count: 1,
    resources: { cpu: 1, memoryMb: 1, gpu: 0 },
    estimateMs: 100,
    after: [],
    rack: "",
    requiredLabel: "",
    maxPerServer: 0,
    isGang: false,
  };
  const job = { id, payload: "", steps: [step], timeoutMs: 1000 };
  const created = createLiveJob(job, QUEUE, {
    submission: 1,
    arrivedAt: 0,
    dueAt,
    giveUpAt: 5000,
    chainMs: [100],
  });
  created.mayHaveRun = hasBegun;
  return created;
}

describe("the order of jobs", () => {
  it("puts begun jobs first, urgent ones next and late ones last", () => {
    const jobs = [
      live("late", 50),
      live("relaxed", 900),
      live("urgent", 300),
      live("begun", 800, true),
    ];
    const ordered = orderJobs(jobs, { now: 0, slowness: 1 });
    expect(ordered.map((ranked) => ranked.live.job.id)).to.deep.equal([
      "begun",
      "urgent",
      "relaxed",
      "late",
    ]);
  });
});
