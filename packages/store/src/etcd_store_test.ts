import {
  createFakeClock,
  createKvStandin,
  type FakeClock,
  type KvFaultRequest,
  type KvStandin,
} from "@coltsfootreach/standin";
import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import {
  createEtcdStore,
  type EtcdStore,
  type EtcdStoreOptions,
} from "./etcd_store.ts";
import type { Change, WatchListener } from "./store.ts";

const SHORT_MS = 500;
const SILENT_MS = 1500;
const LONG_MS = 10_000;

describe("the etcd store", () => {
  let standin: KvStandin;
  let store: EtcdStore;

  beforeEach(async () => {
    standin = await createKvStandin({ progressMs: 20 });
    store = storeAt([standin.address]);
  });

  afterEach(async () => {
    await store.close();
    await standin.close();
  });

  it("reads, lists, swaps and removes", async () => {
    expect((await store.read("a/ø"))._unsafeUnwrap()).to.equal(undefined);
    const first = await put("a/ø", "en");
    await put("b", "two");
    const found = (await store.read("a/ø"))._unsafeUnwrap();
    expect(found).to.deep.equal({ key: "a/ø", value: "en", revision: first });

    const listing = (await store.list("a/"))._unsafeUnwrap();
    expect(listing).to.deep.equal({ values: [found], revision: first + 1 });
    expect((await store.list(""))._unsafeUnwrap().values).to.have.length(2);

    const removed = (await store.remove("a/ø", first))._unsafeUnwrap();
    expect(removed).to.deep.equal({ kind: "swapped", revision: first + 2 });
  });

  it("answers a conflict with the current value", async () => {
    const revision = await put("k", "1");
    const current = { key: "k", value: "1", revision };
    for (const expectedRevision of [0, revision + 1]) {
      const swap = await store.swap({ key: "k", value: "2", expectedRevision });
      expect(swap._unsafeUnwrap()).to.deep.equal({ kind: "conflict", current });
    }
    expect((await store.remove("absent", 3))._unsafeUnwrap()).to.deep.equal({
      kind: "conflict",
      current: undefined,
    });
  });

  it("keeps a key as long as its lease", async () => {
    const lease = (await store.grant(60))._unsafeUnwrap();
    await store.swap({ key: "k", value: "", expectedRevision: 0, lease });
    expect((await store.renew(lease))._unsafeUnwrap()).to.equal(true);
    await faults({ lapseLeases: true });
    expect((await store.renew(lease))._unsafeUnwrap()).to.equal(false);
    expect((await store.read("k"))._unsafeUnwrap()).to.equal(undefined);

    const late = { key: "k", value: "", expectedRevision: 0, lease };
    expect((await store.swap(late))._unsafeUnwrapErr().verdict)
      .to.equal("notRun");
    expect((await store.revoke(lease)).isOk()).to.equal(true);
  });

  it("lets a lease lapse by time and tells the watch", async () => {
    await withClock(async (clock) => {
      const changes = watched("k", 1);
      const lease = (await store.grant(1))._unsafeUnwrap();
      await store.swap({ key: "k", value: "v", expectedRevision: 0, lease });
      await clock.advance(999);
      expect((await store.renew(lease))._unsafeUnwrap()).to.equal(true);
      await clock.advance(1000);
      const seen = await changes.next(2);
      expect(seen.map(({ value }) => value)).to.deep.equal(["v", undefined]);
    });
  });

  it("says of a refused connection that nothing ran", async () => {
    await faults({ outage: "refusing" });
    const swap = await store.swap({ key: "k", value: "", expectedRevision: 0 });
    expect(swap._unsafeUnwrapErr().verdict).to.equal("notRun");
    expect((await store.grant(1))._unsafeUnwrapErr().verdict)
      .to.equal("notRun");
    await faults({ outage: "none" });
    await put("k", "");
  });

  it("says of a lost answer that the write may have run", async () => {
    await faults({ lostAnswers: 1 });
    const swap = await store.swap({
      key: "k",
      value: "v",
      expectedRevision: 0,
    });
    expect(swap._unsafeUnwrapErr().verdict).to.equal("mayHaveRun");
    expect((await store.read("k"))._unsafeUnwrap()?.value).to.equal("v");
    expect(store.calls()).to.include({ swap: 1, read: 1 });
  });

  it("bounds each call by the timeout", async () => {
    await faults({ slowMs: LONG_MS });
    const hasty = storeAt([standin.address], { timeoutMs: SHORT_MS });
    const [swap, read] = await Promise.all([
      hasty.swap({ key: "k", value: "v", expectedRevision: 0 }),
      hasty.read("k"),
    ]);
    await hasty.close();
    expect(swap._unsafeUnwrapErr().verdict).to.equal("mayHaveRun");
    expect(read._unsafeUnwrapErr().verdict).to.equal("notRun");
  });

  it("says of a write above the rate limit that it did not run", async () => {
    await withClock(async (clock) => {
      await faults({ callsPerSecond: 1 });
      const write = { key: "k", value: "", expectedRevision: 0 };
      expect((await store.read("k")).isOk()).to.equal(true);
      expect((await store.swap(write))._unsafeUnwrapErr().verdict)
        .to.equal("notRun");
      await clock.advance(1000);
      expect((await store.swap(write))._unsafeUnwrap().kind)
        .to.equal("swapped");
    });
  });

  it("takes an unavailable service for one that may have written", async () => {
    await faults({ outage: "unavailable" });
    const swap = await store.swap({ key: "k", value: "", expectedRevision: 0 });
    expect(swap._unsafeUnwrapErr().verdict).to.equal("mayHaveRun");
    expect((await store.read("k"))._unsafeUnwrapErr().verdict)
      .to.equal("notRun");
  });

  it("goes on to the next endpoint when the first takes no connection", async () => {
    const gone = await createKvStandin();
    await gone.close();
    const both = storeAt([gone.address, standin.address]);
    const swap = await both.swap({ key: "k", value: "", expectedRevision: 0 });
    expect(swap.isOk()).to.equal(true);
    expect(both.calls().swap).to.equal(2);
    await both.read("k");
    expect(both.calls().read).to.equal(1);
    await both.close();
  });

  it("never sends a write on that one endpoint may have taken", async () => {
    const { origin, close } = await startSilentServer();
    const both = storeAt([origin, standin.address], {
      timeoutMs: 2 * SHORT_MS,
    });
    const write = { key: "k", value: "", expectedRevision: 0 };
    const first = await both.swap(write);
    expect(first._unsafeUnwrapErr().verdict).to.equal("mayHaveRun");
    expect(standin.calls().swap).to.equal(0);
    expect((await both.swap(write)).isOk()).to.equal(true);
    await both.close();
    close();
  });

  it("reads from the next endpoint when the first is silent", async () => {
    const { origin, close } = await startSilentServer();
    const both = storeAt([origin, standin.address], {
      timeoutMs: 2 * SHORT_MS,
    });
    expect((await both.read("k")).isOk()).to.equal(true);
    await both.close();
    close();
  });

  it("watches from a listing on without a gap or a repeat", async () => {
    await put("k/0", "before");
    const { revision } = (await store.list("k/"))._unsafeUnwrap();
    const missed = await put("k/1", "between");
    const changes = watched("k/", revision + 1);
    await put("other", "");
    const last = await put("k/2", "after");
    const seen = await changes.next(2);
    expect(seen).to.deep.equal([
      { key: "k/1", value: "between", revision: missed },
      { key: "k/2", value: "after", revision: last },
    ]);
    expect(store.calls().watch).to.equal(1);
  });

  it("keeps a quiet watch open by progress notifications", async () => {
    const quiet = storeAt([standin.address], {
      watchSilentMs: SILENT_MS,
    });
    const changes = watched("k", 1, quiet);
    await new Promise((resolve) => setTimeout(resolve, 2 * SILENT_MS));
    expect(changes.ended()).to.equal(false);
    await quiet.close();
  });

  for (
    const [name, fault] of [
      ["falls silent", { silentWatches: true }],
      ["loses its service", { outage: "refusing" }],
      ["meets an unavailable service", { outage: "unavailable" }],
    ] as const
  ) {
    it(`ends a watch that ${name}`, async () => {
      const impatient = storeAt([standin.address], {
        watchSilentMs: SILENT_MS,
      });
      const changes = watched("k", 1, impatient);
      await put("k", "");
      await changes.next(1);
      await faults(fault);
      await changes.end;
      await impatient.close();
    });
  }

  it("ends a watch from a revision that is compacted", async () => {
    await put("k", "1");
    await faults({ compact: true });
    await watched("k", 1).end;
  });

  it("reports nothing once a watch is closed", async () => {
    const changes = watched("k", 1);
    changes.close();
    await put("k", "1");
    await watched("k", 1).next(1);
    expect(changes.seen()).to.deep.equal([]);
    expect(changes.ended()).to.equal(false);
  });

  /** Runs a test against a service whose time the test moves. */
  async function withClock(
    run: (clock: FakeClock) => Promise<void>,
  ): Promise<void> {
    const clock = createFakeClock();
    await store.close();
    await standin.close();
    standin = await createKvStandin({ clock });
    store = storeAt([standin.address]);
    await run(clock);
  }

  async function faults(request: KvFaultRequest): Promise<void> {
    const response = await fetch(`${standin.controlAddress}/standin/faults`, {
      method: "POST",
      body: JSON.stringify(request),
    });
    expect(response.status).to.equal(204);
  }

  async function put(key: string, value: string): Promise<number> {
    const swap = await store.swap({ key, value, expectedRevision: 0 });
    const done = swap._unsafeUnwrap();
    expect(done.kind).to.equal("swapped");
    return done.kind === "swapped" ? done.revision : 0;
  }

  function watched(prefix: string, from: number, by = store) {
    const changes: Change[] = [];
    let wake = () => {};
    let over = () => {};
    let isOver = false;
    const end = new Promise<void>((resolve) => over = resolve);
    const listener: WatchListener = {
      changed(change) {
        changes.push(change);
        wake();
      },
      ended() {
        isOver = true;
        over();
      },
    };
    const { close } = by.watch(prefix, from, listener);
    return {
      close,
      end,
      ended: () => isOver,
      seen: () => changes,
      async next(count: number): Promise<readonly Change[]> {
        while (changes.length < count) {
          await new Promise<void>((resolve) => wake = resolve);
        }
        return changes;
      },
    };
  }
});

function storeAt(
  endpoints: readonly string[],
  options: Partial<EtcdStoreOptions> = {},
): EtcdStore {
  return createEtcdStore({
    endpoints,
    timeoutMs: LONG_MS,
    watchSilentMs: LONG_MS,
    ...options,
  });
}

/** Accepts connections and never answers. */
async function startSilentServer() {
  const sockets: Socket[] = [];
  const server = createServer((socket) => sockets.push(socket));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    origin: `http://127.0.0.1:${port}`,
    close() {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
