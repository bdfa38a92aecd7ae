import { createPatience, type Patience } from "@coltsfootreach/dispatch";
import { createLog } from "@coltsfootreach/log";
import { createFakeClock, createMemoryStore } from "@coltsfootreach/standin";
import type { Store } from "@coltsfootreach/store";
import { expect } from "chai";
import { keepRecord, type Learner } from "./shared_record.ts";

const LOG = createLog({
  role: "entry",
  name: "test",
  incarnation: "1",
  level: "error",
  write() {},
});

const KEY = "shared/test";

/** One entry's life: it reads, learns nothing more, writes and ends. */
async function live(
  store: Store,
  learner: Learner,
  isWriter = true,
): Promise<void> {
  const record = keepRecord({
    store,
    key: KEY,
    learner,
    log: LOG,
    isWriter: () => isWriter,
  });
  await new Promise((resolve) => setTimeout(resolve, 20));
  record.stop();
}

function learnt(queue: string): Patience {
  const patience = createPatience();
  for (let count = 0; count < 20; count += 1) patience.learn(queue, 2000);
  return patience;
}

describe("what entries have learnt", () => {
  it("outlives the entry that has written it", async () => {
    const store = createMemoryStore(createFakeClock());
    await live(store, learnt("a"));
    const after = createPatience();
    await live(store, after, false);
    expect(after.ageMs("a", 800)).to.equal(1000);
  });

  it("is written by one entry only", async () => {
    const store = createMemoryStore(createFakeClock());
    await live(store, learnt("a"), false);
    const after = createPatience();
    await live(store, after);
    expect(after.table()).to.deep.equal({});
  });

  it("keeps what the writer has not heard of", async () => {
    const store = createMemoryStore(createFakeClock());
    for (const queue of ["a", "b"]) await live(store, learnt(queue));
    const after = createPatience();
    await live(store, after);
    expect(after.table()).to.deep.equal({ a: 2000, b: 2000 });
  });

  it("is left out where it can't be read", async () => {
    const store = createMemoryStore(createFakeClock());
    const value = '{"a":"fast","b":';
    await store.swap({ key: KEY, value, expectedRevision: 0 });
    const patience = createPatience();
    await live(store, patience);
    expect(patience.table()).to.deep.equal({});
  });
});
