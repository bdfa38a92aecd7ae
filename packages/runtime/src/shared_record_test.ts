import {
  type CallerAgeEstimator,
  createCallerAgeEstimator,
} from "@coltsfootreach/dispatch";
import { createLog } from "@coltsfootreach/log";
import { createFakeClock, createMemoryStore } from "@coltsfootreach/standin";
import type { Store } from "@coltsfootreach/store";
import { expect } from "chai";
import { type Estimator, syncSharedRecord } from "./shared_record.ts";

const LOG = createLog({
  role: "entry",
  name: "test",
  incarnation: "1",
  level: "error",
  write() {},
});

const KEY = "shared/test";

/** Runs an entry that reads the record, writes it if it may, and stops. */
async function runEntry(
  store: Store,
  estimator: Estimator,
  isWriter = true,
): Promise<void> {
  const sharedRecord = syncSharedRecord({
    store,
    key: KEY,
    estimator,
    log: LOG,
    isWriter: () => isWriter,
  });
  await new Promise((resolve) => setTimeout(resolve, 20));
  sharedRecord.stop();
}

function createTrainedEstimator(queue: string): CallerAgeEstimator {
  const estimator = createCallerAgeEstimator();
  for (let count = 0; count < 20; count += 1) {
    estimator.recordTimeout(queue, 2000);
  }
  return estimator;
}

describe("shared record", () => {
  it("is available after its writer has stopped", async () => {
    const store = createMemoryStore(createFakeClock());
    await runEntry(store, createTrainedEstimator("a"));
    const restarted = createCallerAgeEstimator();
    await runEntry(store, restarted, false);
    expect(restarted.ageMs("a", 800)).to.equal(1000);
  });

  it("is written only by the writer", async () => {
    const store = createMemoryStore(createFakeClock());
    await runEntry(store, createTrainedEstimator("a"), false);
    const restarted = createCallerAgeEstimator();
    await runEntry(store, restarted);
    expect(restarted.table()).to.deep.equal({});
  });

  it("keeps values that the current writer has not observed", async () => {
    const store = createMemoryStore(createFakeClock());
    for (const queue of ["a", "b"]) {
      await runEntry(store, createTrainedEstimator(queue));
    }
    const restarted = createCallerAgeEstimator();
    await runEntry(store, restarted);
    expect(restarted.table()).to.deep.equal({ a: 2000, b: 2000 });
  });

  it("is ignored if it can't be decoded", async () => {
    const store = createMemoryStore(createFakeClock());
    const value = '{"a":"fast","b":';
    await store.swap({ key: KEY, value, expectedRevision: 0 });
    const estimator = createCallerAgeEstimator();
    await runEntry(store, estimator);
    expect(estimator.table()).to.deep.equal({});
  });

  // An infinite estimate made every caller look too old to be served.
  it("is used without the values that can't be right", async () => {
    const store = createMemoryStore(createFakeClock());
    const value = '{"a":1e400,"b":1e300,"c":-1,"d":"2","e":[[[]]],"f":2000}';
    await store.swap({ key: KEY, value, expectedRevision: 0 });
    const estimator = createCallerAgeEstimator();
    await runEntry(store, estimator, false);
    expect(estimator.table()).to.deep.equal({ f: 2000 });
  });
});
