import type { Change } from "@coltsfootreach/store";
import { expect } from "chai";
import { createFakeClock, type FakeClock } from "../clock/fake_clock.ts";
import { createMemoryStore, type MemoryStore } from "./memory_store.ts";

describe("the memory store", () => {
  let clock: FakeClock;
  let store: MemoryStore;
  let changes: Change[];
  let ends: number;

  const listener = {
    changed: (change: Change) => changes.push(change),
    ended: () => ends++,
  };

  beforeEach(() => {
    clock = createFakeClock();
    store = createMemoryStore(clock, { timeoutMs: 100, watchSilentMs: 2000 });
    changes = [];
    ends = 0;
  });

  it("lets a lease lapse while its holder is paused", async () => {
    store.watch("", 1, listener);
    const lease = (await store.grant(2))._unsafeUnwrap();
    await store.swap({ key: "k", value: "v", expectedRevision: 0, lease });
    await clock.advance(1999);
    expect((await store.renew(lease))._unsafeUnwrap()).to.equal(true);
    await clock.advance(2000);
    expect((await store.renew(lease))._unsafeUnwrap()).to.equal(false);
    expect(changes.map(({ value }) => value)).to.deep.equal(["v", undefined]);
  });

  it("lets a write take effect after its caller has given up", async () => {
    store.setFaults({ slowMs: 300 });
    const swap = store.swap({ key: "k", value: "v", expectedRevision: 0 });
    await clock.advance(100);
    expect((await swap)._unsafeUnwrapErr().verdict).to.equal("mayHaveRun");
    store.setFaults({ slowMs: 0 });
    expect((await store.read("k"))._unsafeUnwrap()).to.equal(undefined);
    await clock.advance(200);
    expect((await store.read("k"))._unsafeUnwrap()?.value).to.equal("v");
  });

  it("refuses calls above the rate until the next second", async () => {
    store.setFaults({ callsPerSecond: 1 });
    expect((await store.read("k")).isOk()).to.equal(true);
    const write = { key: "k", value: "", expectedRevision: 0 };
    expect((await store.swap(write))._unsafeUnwrapErr().verdict)
      .to.equal("notRun");
    await clock.advance(1000);
    expect((await store.swap(write)).isOk()).to.equal(true);
  });

  it("gives the verdicts of the adapter in outages", async () => {
    const write = { key: "k", value: "", expectedRevision: 0 };
    const verdicts = {
      refusing: "notRun",
      unavailable: "mayHaveRun",
    } as const;
    for (const outage of ["refusing", "unavailable"] as const) {
      store.setFaults({ outage });
      expect((await store.read("k"))._unsafeUnwrapErr().verdict)
        .to.equal("notRun");
      expect((await store.swap(write))._unsafeUnwrapErr().verdict)
        .to.equal(verdicts[outage]);
    }
  });

  it("ends a watch that has fallen silent, and lets a new one work", async () => {
    store.watch("", 1, listener);
    await clock.advance(10_000);
    expect(ends).to.equal(0);
    store.setFaults({ silentWatches: true });
    store.setFaults({ silentWatches: false });
    await store.swap({ key: "k", value: "v", expectedRevision: 0 });
    await clock.advance(2000);
    expect([changes.length, ends]).to.deep.equal([0, 1]);
    store.watch("", 1, listener);
    await clock.advance(10_000);
    expect([changes.length, ends]).to.deep.equal([1, 1]);
    expect(store.calls().watch).to.equal(2);
  });

  it("ends watches in an outage and from compacted revisions", async () => {
    store.watch("", 1, listener);
    await clock.advance(1);
    store.setFaults({ outage: "refusing" });
    expect(ends).to.equal(1);
    store.watch("", 1, listener);
    await clock.advance(1);
    expect(ends).to.equal(2);
    store.setFaults({ outage: "none", compact: true });
    store.watch("", 1, listener);
    await clock.advance(1);
    expect(ends).to.equal(3);
  });

  it("reports nothing after a watch is closed from within", async () => {
    for (const key of ["a", "b"]) {
      await store.swap({ key, value: "", expectedRevision: 0 });
    }
    const watch = store.watch("", 1, {
      changed(change) {
        changes.push(change);
        watch.close();
      },
      ended: listener.ended,
    });
    await clock.advance(10_000);
    expect([changes.length, ends]).to.deep.equal([1, 0]);
  });
});
