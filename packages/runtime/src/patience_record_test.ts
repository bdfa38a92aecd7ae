import { createPatience } from "@coltsfootreach/dispatch";
import { createLog } from "@coltsfootreach/log";
import { createFakeClock, createMemoryStore } from "@coltsfootreach/standin";
import { expect } from "chai";
import { keepPatience } from "./patience_record.ts";

const LOG = createLog({
  role: "entry",
  name: "test",
  incarnation: "1",
  level: "error",
  write() {},
});

const KEY = "callers/patience";

function settle(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 20));
}

describe("the record of callers' patience", () => {
  it("outlives the entry that learnt it", async () => {
    const store = createMemoryStore(createFakeClock());
    const before = createPatience();
    for (let count = 0; count < 20; count += 1) before.learn("a", 2000);
    const first = keepPatience({
      store,
      patience: before,
      log: LOG,
      random: () => 0,
    });
    await settle();
    first.stop();
    const after = createPatience();
    const second = keepPatience({
      store,
      patience: after,
      log: LOG,
      random: () => 0,
    });
    await settle();
    second.stop();
    expect(after.ageMs("a", 800)).to.equal(1000);
  });

  it("is left out where it can't be read", async () => {
    const store = createMemoryStore(createFakeClock());
    const value = "{ not JSON";
    await store.swap({ key: KEY, value, expectedRevision: 0 });
    const patience = createPatience();
    const record = keepPatience({
      store,
      patience,
      log: LOG,
      random: () => 0,
    });
    await settle();
    record.stop();
    expect(patience.table()).to.deep.equal({});
  });
});
