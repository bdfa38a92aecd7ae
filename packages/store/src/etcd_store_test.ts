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

const SHORT_TIMEOUT_MS = 500;
const WATCH_SILENT_MS = 1500;
const LONG_DELAY_MS = 10_000;

describe("the etcd store", () => {
  let standin: KvStandin;
  let store: EtcdStore;

  beforeEach(async () => {
    standin = await createKvStandin({ progressMs: 20 });
    store = createTestStore([standin.address]);
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

  it("returns the current value on a conflict", async () => {
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

  it("deletes a key when its lease expires", async () => {
    const lease = (await store.grant(60))._unsafeUnwrap();
    await store.swap({ key: "k", value: "", expectedRevision: 0, lease });
    expect((await store.renew(lease))._unsafeUnwrap()).to.equal(true);
    await setFaults({ lapseLeases: true });
    expect((await store.renew(lease))._unsafeUnwrap()).to.equal(false);
    expect((await store.read("k"))._unsafeUnwrap()).to.equal(undefined);

    const expiredWrite = { key: "k", value: "", expectedRevision: 0, lease };
    expect((await store.swap(expiredWrite))._unsafeUnwrapErr().verdict)
      .to.equal("notRun");
    expect((await store.revoke(lease)).isOk()).to.equal(true);
  });

  it("expires a lease after its TTL and reports the deletion to the watch", async () => {
    await withClock(async (clock) => {
      const changes = startWatch("k", 1);
      const lease = (await store.grant(1))._unsafeUnwrap();
      await store.swap({ key: "k", value: "v", expectedRevision: 0, lease });
      await clock.advance(999);
      expect((await store.renew(lease))._unsafeUnwrap()).to.equal(true);
      await clock.advance(1000);
      const seen = await changes.next(2);
      expect(seen.map(({ value }) => value)).to.deep.equal(["v", undefined]);
    });
  });

  it("fails with notRun when the connection is refused", async () => {
    await setFaults({ outage: "refusing" });
    const swap = await store.swap({ key: "k", value: "", expectedRevision: 0 });
    expect(swap._unsafeUnwrapErr().verdict).to.equal("notRun");
    expect((await store.grant(1))._unsafeUnwrapErr().verdict)
      .to.equal("notRun");
    await setFaults({ outage: "none" });
    await put("k", "");
  });

  it("fails with mayHaveRun when the response to a write is lost", async () => {
    await setFaults({ lostAnswers: 1 });
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
    await setFaults({ slowMs: LONG_DELAY_MS });
    const shortTimeoutStore = createTestStore([standin.address], {
      timeoutMs: SHORT_TIMEOUT_MS,
    });
    const [swap, read] = await Promise.all([
      shortTimeoutStore.swap({ key: "k", value: "v", expectedRevision: 0 }),
      shortTimeoutStore.read("k"),
    ]);
    await shortTimeoutStore.close();
    expect(swap._unsafeUnwrapErr().verdict).to.equal("mayHaveRun");
    expect(read._unsafeUnwrapErr().verdict).to.equal("notRun");
  });

  it("fails with notRun when a write exceeds the rate limit", async () => {
    await withClock(async (clock) => {
      await setFaults({ callsPerSecond: 1 });
      const write = { key: "k", value: "", expectedRevision: 0 };
      expect((await store.read("k")).isOk()).to.equal(true);
      expect((await store.swap(write))._unsafeUnwrapErr().verdict)
        .to.equal("notRun");
      await clock.advance(1000);
      expect((await store.swap(write))._unsafeUnwrap().kind)
        .to.equal("swapped");
    });
  });

  it("fails with mayHaveRun when a write gets an unavailable error", async () => {
    await setFaults({ outage: "unavailable" });
    const swap = await store.swap({ key: "k", value: "", expectedRevision: 0 });
    expect(swap._unsafeUnwrapErr().verdict).to.equal("mayHaveRun");
    expect((await store.read("k"))._unsafeUnwrapErr().verdict)
      .to.equal("notRun");
  });

  it("fails over when the first endpoint refuses connections", async () => {
    const closedStandin = await createKvStandin();
    await closedStandin.close();
    const failoverStore = createTestStore([
      closedStandin.address,
      standin.address,
    ]);
    const swap = await failoverStore.swap({
      key: "k",
      value: "",
      expectedRevision: 0,
    });
    expect(swap.isOk()).to.equal(true);
    expect(failoverStore.calls().swap).to.equal(2);
    await failoverStore.read("k");
    expect(failoverStore.calls().read).to.equal(1);
    await failoverStore.close();
  });

  it("doesn't fail over a write that an endpoint may have received", async () => {
    const { origin, close } = await startSilentServer();
    const failoverStore = createTestStore([origin, standin.address], {
      timeoutMs: 2 * SHORT_TIMEOUT_MS,
    });
    const write = { key: "k", value: "", expectedRevision: 0 };
    const first = await failoverStore.swap(write);
    expect(first._unsafeUnwrapErr().verdict).to.equal("mayHaveRun");
    expect(standin.calls().swap).to.equal(0);
    expect((await failoverStore.swap(write)).isOk()).to.equal(true);
    await failoverStore.close();
    close();
  });

  it("fails over a read when the first endpoint doesn't respond", async () => {
    const { origin, close } = await startSilentServer();
    const failoverStore = createTestStore([origin, standin.address], {
      timeoutMs: 2 * SHORT_TIMEOUT_MS,
    });
    expect((await failoverStore.read("k")).isOk()).to.equal(true);
    await failoverStore.close();
    close();
  });

  it("watches from a listing without missed or duplicate changes", async () => {
    await put("k/0", "before");
    const { revision } = (await store.list("k/"))._unsafeUnwrap();
    const betweenRevision = await put("k/1", "between");
    const changes = startWatch("k/", revision + 1);
    await put("other", "");
    const lastRevision = await put("k/2", "after");
    const seen = await changes.next(2);
    expect(seen).to.deep.equal([
      { key: "k/1", value: "between", revision: betweenRevision },
      { key: "k/2", value: "after", revision: lastRevision },
    ]);
    expect(store.calls().watch).to.equal(1);
  });

  it("keeps an idle watch open while it gets progress notifications", async () => {
    const quietStore = createTestStore([standin.address], {
      watchSilentMs: WATCH_SILENT_MS,
    });
    const changes = startWatch("k", 1, quietStore);
    await new Promise((resolve) => setTimeout(resolve, 2 * WATCH_SILENT_MS));
    expect(changes.ended()).to.equal(false);
    await quietStore.close();
  });

  for (
    const [name, fault] of [
      ["gets no more messages", { silentWatches: true }],
      ["loses its connection", { outage: "refusing" }],
      ["gets an unavailable error", { outage: "unavailable" }],
    ] as const
  ) {
    it(`ends a watch that ${name}`, async () => {
      const shortSilenceStore = createTestStore([standin.address], {
        watchSilentMs: WATCH_SILENT_MS,
      });
      const changes = startWatch("k", 1, shortSilenceStore);
      await put("k", "");
      await changes.next(1);
      await setFaults(fault);
      await changes.end;
      await shortSilenceStore.close();
    });
  }

  it("ends a watch that starts at a compacted revision", async () => {
    await put("k", "1");
    await setFaults({ compact: true });
    await startWatch("k", 1).end;
  });

  it("reports no changes after a watch is closed", async () => {
    const changes = startWatch("k", 1);
    changes.close();
    await put("k", "1");
    await startWatch("k", 1).next(1);
    expect(changes.seen()).to.deep.equal([]);
    expect(changes.ended()).to.equal(false);
  });

  /** Runs a test against a service with a fake clock. */
  async function withClock(
    run: (clock: FakeClock) => Promise<void>,
  ): Promise<void> {
    const clock = createFakeClock();
    await store.close();
    await standin.close();
    standin = await createKvStandin({ clock });
    store = createTestStore([standin.address]);
    await run(clock);
  }

  async function setFaults(request: KvFaultRequest): Promise<void> {
    const response = await fetch(`${standin.controlAddress}/standin/faults`, {
      method: "POST",
      body: JSON.stringify(request),
    });
    expect(response.status).to.equal(204);
  }

  async function put(key: string, value: string): Promise<number> {
    const swap = await store.swap({ key, value, expectedRevision: 0 });
    const result = swap._unsafeUnwrap();
    expect(result.kind).to.equal("swapped");
    return result.kind === "swapped" ? result.revision : 0;
  }

  function startWatch(prefix: string, from: number, watchedStore = store) {
    const changes: Change[] = [];
    let onChange = () => {};
    let resolveEnd = () => {};
    let hasEnded = false;
    const end = new Promise<void>((resolve) => resolveEnd = resolve);
    const listener: WatchListener = {
      changed(change) {
        changes.push(change);
        onChange();
      },
      ended() {
        hasEnded = true;
        resolveEnd();
      },
    };
    const { close } = watchedStore.watch(prefix, from, listener);
    return {
      close,
      end,
      ended: () => hasEnded,
      seen: () => changes,
      async next(count: number): Promise<readonly Change[]> {
        while (changes.length < count) {
          await new Promise<void>((resolve) => onChange = resolve);
        }
        return changes;
      },
    };
  }
});

function createTestStore(
  endpoints: readonly string[],
  options: Partial<EtcdStoreOptions> = {},
): EtcdStore {
  return createEtcdStore({
    endpoints,
    timeoutMs: LONG_DELAY_MS,
    watchSilentMs: LONG_DELAY_MS,
    ...options,
  });
}

/** Starts a server that accepts connections and never responds. */
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
