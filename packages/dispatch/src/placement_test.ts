import type { ServerReport } from "@coltsfootreach/run";
import {
  SAMPLE_REMOTE_FACTOR,
  sampleReport,
  sampleStep,
} from "@coltsfootreach/standin";
import { expect } from "chai";
import { chooseWorker, type PlacementRequest } from "./placement.ts";
import { applyWorkFrame, createWorker, type Worker } from "./workers.ts";

const STEP = sampleStep();

function worker(id: string, overrides: Partial<ServerReport> = {}): Worker {
  const created = createWorker(1, 0);
  const server = sampleReport({ id, labels: [], ...overrides });
  applyWorkFrame(
    created,
    { kind: "work", seen: 0, news: [], server, side: id },
    0,
  );
  return created;
}

function request(overrides: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    step: STEP,
    service: "pool",
    remoteFactor: SAMPLE_REMOTE_FACTOR,
    now: 0,
    excludedServers: new Set(),
    endBy: undefined,
    isSuspectAllowed: false,
    countOnServer: () => 0,
    random: () => 0,
    ...overrides,
  };
}

function choose(
  workers: readonly Worker[],
  overrides: Partial<PlacementRequest> = {},
): string | undefined {
  return chooseWorker(workers, request(overrides))?.report?.id;
}

describe("placement", () => {
  it("selects the server with the earliest expected completion", () => {
    const workers = [worker("slow", { slowness: 2 }), worker("fast")];
    expect(choose(workers)).to.equal("fast");
  });

  it("expects a longer run time outside the rack with the data", () => {
    const step = { ...STEP, rack: "r1" };
    const near = worker("near", { labels: ["r1"], slowness: 1.2 });
    expect(choose([worker("far"), near], { step })).to.equal("near");
  });

  it("uses the remote factor that the deployment declares", () => {
    const step = { ...STEP, rack: "r1" };
    const near = worker("near", { labels: ["r1"], slowness: 2 });
    const workers = [worker("far"), near];
    expect(choose(workers, { step })).to.equal("far");
    expect(choose(workers, { step, remoteFactor: 3 })).to.equal("near");
  });

  it("waits for a faster server rather than miss the deadline", () => {
    const slow = worker("slow", { slowness: 2 });
    expect(choose([slow], { endBy: 150 })).to.equal(undefined);
    expect(choose([slow], { endBy: 250 })).to.equal("slow");
  });

  it("skips servers that are full, closed, excluded, suspect or of another pool", () => {
    const room = { cpu: 500, memoryMb: 1000, gpu: 0 };
    const workers = [
      worker("full", { room }),
      worker("closed", { isOpen: false }),
      worker("excluded"),
      worker("suspect", { isSuspect: true }),
      worker("other", { service: "elsewhere" }),
    ];
    const excludedServers = new Set(["excluded"]);
    expect(choose(workers, { excludedServers })).to.equal(undefined);
  });

  it("respects required labels and the maximum tasks per server", () => {
    const step = { ...STEP, requiredLabel: "gpu", maxPerServer: 1 };
    const gpuServer = worker("fit", { labels: ["gpu"] });
    expect(choose([worker("plain"), gpuServer], { step })).to.equal("fit");
    expect(choose([gpuServer], { step, countOnServer: () => 1 })).to.equal(
      undefined,
    );
  });
});
