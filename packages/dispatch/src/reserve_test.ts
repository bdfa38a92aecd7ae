import type { ServerReport } from "@coltsfootreach/run";
import { sampleQueue, sampleReport, sampleStep } from "@coltsfootreach/standin";
import { expect } from "chai";
import { createLiveJob } from "./live_job.ts";
import type { Rank, RankedJob } from "./order.ts";
import { isHeldBack } from "./reserve.ts";
import { applyWorkFrame, createWorker, type Worker } from "./workers.ts";

const LATE: Rank = 2;

const NEW: Rank = 1;

const RESERVE = { unstarted: 0.5, started: 0.25 };

/** A job whose tasks use one core each. */
function ranked(rank: Rank, tasks: number, hasStarted = false): RankedJob {
  const steps = [sampleStep({ count: tasks })];
  const job = { id: "job", payload: "", steps, timeoutMs: 1000 };
  const live = createLiveJob(job, sampleQueue(), {
    submission: 1,
    arrivedAt: 0,
    dueAt: 0,
    staleAt: 500,
    timeoutAt: 1000,
    remainingPathMs: [100],
  });
  live.mayHaveRun = hasStarted;
  return { live, rank, latestStart: 0 };
}

/** A server of four cores, some of them free. */
function worker(
  freeCores: number,
  overrides: Partial<ServerReport> = {},
): Worker {
  const created = createWorker(1, 0);
  const room = { cpu: freeCores * 1000, memoryMb: 1000, gpu: 0 };
  const server = sampleReport({ room, ...overrides });
  applyWorkFrame(created, { kind: "work", seen: 0, news: [], server }, 0);
  return created;
}

describe("reserve against late jobs", () => {
  it("holds a late job back if too few cores would stay free", () => {
    expect(isHeldBack(ranked(LATE, 1), [worker(2)], RESERVE)).to.equal(true);
    expect(isHeldBack(ranked(LATE, 1), [worker(3)], RESERVE)).to.equal(false);
  });

  it("does not apply to jobs that can be in time", () => {
    expect(isHeldBack(ranked(NEW, 1), [worker(1)], RESERVE)).to.equal(false);
  });

  it("is smaller for late jobs that have started", () => {
    const started = ranked(LATE, 1, true);
    expect(isHeldBack(started, [worker(2)], RESERVE)).to.equal(false);
    expect(isHeldBack(started, [worker(1)], RESERVE)).to.equal(true);
  });

  it("lets a job that is wider than the fleet start once it is idle", () => {
    expect(isHeldBack(ranked(LATE, 9), [worker(4)], RESERVE)).to.equal(false);
    expect(isHeldBack(ranked(LATE, 9), [worker(3)], RESERVE)).to.equal(true);
  });

  it("counts only open servers of the job's service", () => {
    const others = [
      worker(4, { service: "other" }),
      worker(4, { isOpen: false }),
    ];
    const workers = [worker(2), ...others];
    expect(isHeldBack(ranked(LATE, 1), workers, RESERVE)).to.equal(true);
  });
});
