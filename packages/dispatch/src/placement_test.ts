import type { ServerReport } from "@coltsfootreach/run";
import {
  SAMPLE_REMOTE_FACTOR,
  sampleReport,
  sampleStep,
} from "@coltsfootreach/standin";
import { expect } from "chai";
import { choosePlace, type PlacementNeed } from "./placement.ts";
import { createWorker, hear, type Worker } from "./workers.ts";

const STEP = sampleStep();

function worker(id: string, more: Partial<ServerReport> = {}): Worker {
  const created = createWorker(1, 0);
  const server = sampleReport({ id, labels: [], ...more });
  hear(created, { kind: "work", seen: 0, news: [], server, side: id }, 0);
  return created;
}

function need(more: Partial<PlacementNeed> = {}): PlacementNeed {
  return {
    step: STEP,
    service: "pool",
    remoteFactor: SAMPLE_REMOTE_FACTOR,
    now: 0,
    avoid: new Set(),
    endBy: undefined,
    mayUseSuspects: false,
    countOnServer: () => 0,
    random: () => 0,
    ...more,
  };
}

function choose(
  workers: readonly Worker[],
  more: Partial<PlacementNeed> = {},
): string | undefined {
  return choosePlace(workers, need(more))?.report?.id;
}

describe("placement", () => {
  it("takes the server where the task is expected to end first", () => {
    const workers = [worker("slow", { slowness: 2 }), worker("fast")];
    expect(choose(workers)).to.equal("fast");
  });

  it("counts data on another rack as longer", () => {
    const step = { ...STEP, rack: "r1" };
    const near = worker("near", { labels: ["r1"], slowness: 1.2 });
    expect(choose([worker("far"), near], { step })).to.equal("near");
  });

  it("counts it as much longer as the deployment declares", () => {
    const step = { ...STEP, rack: "r1" };
    const near = worker("near", { labels: ["r1"], slowness: 2 });
    const workers = [worker("far"), near];
    expect(choose(workers, { step })).to.equal("far");
    expect(choose(workers, { step, remoteFactor: 3 })).to.equal("near");
  });

  it("waits for a faster server while the job can still be in time there", () => {
    const slow = worker("slow", { slowness: 2 });
    expect(choose([slow], { endBy: 150 })).to.equal(undefined);
    expect(choose([slow], { endBy: 250 })).to.equal("slow");
  });

  it("leaves out servers that are full, closed, avoided, suspect or of another pool", () => {
    const room = { cpu: 500, memoryMb: 1000, gpu: 0 };
    const workers = [
      worker("full", { room }),
      worker("closed", { isOpen: false }),
      worker("avoided"),
      worker("suspect", { isSuspect: true }),
      worker("other", { service: "elsewhere" }),
    ];
    const avoid = new Set(["avoided"]);
    expect(choose(workers, { avoid })).to.equal(undefined);
  });

  it("keeps to labels and to the most tasks on one server", () => {
    const step = { ...STEP, requiredLabel: "gpu", maxPerServer: 1 };
    const fit = worker("fit", { labels: ["gpu"] });
    expect(choose([worker("plain"), fit], { step })).to.equal("fit");
    expect(choose([fit], { step, countOnServer: () => 1 })).to.equal(undefined);
  });
});
