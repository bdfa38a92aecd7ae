/**
 * A process that starts while the store is silent must not wait for the timeout
 * of requests that the store has lost once it answers new ones again.
 */
import { createLog } from "@coltsfootreach/log";
import type { QueueTable } from "@coltsfootreach/run";
import { createFakeClock, createMemoryStore } from "@coltsfootreach/standin";
import type { Listing, Store } from "@coltsfootreach/store";
import { expect } from "chai";
import { ok, type ResultAsync } from "neverthrow";
import { setTimeout } from "node:timers/promises";
import { watchConfiguration } from "./configuration.ts";
import { discoverEntries, joinMembership } from "./membership.ts";

const CONFIGURATION_KEY = "configuration";

const TABLE: QueueTable = { version: 1, queues: [], maxBodyBytes: 1000 };

const ADDRESS = "10.0.0.1:7000";

const log = createLog({
  role: "entry",
  name: "test",
  incarnation: "1",
  level: "error",
  write() {},
});

/** Loses the first read of each kind; answers all later requests. */
function loseFirstReads(store: Store): Store {
  let isListLost = false;
  let isStaleListLost = false;
  const lost = new Promise(() => {}) as unknown as ResultAsync<Listing, never>;
  return {
    ...store,
    list(prefix) {
      if (isListLost) return store.list(prefix);
      isListLost = true;
      return lost;
    },
    listStale(prefix) {
      if (isStaleListLost) return store.listStale(prefix);
      isStaleListLost = true;
      return lost;
    },
  };
}

/** Longer than the delay of a hedged read, shorter than a read's timeout. */
const ANSWER_LIMIT_MS = 1000;

/** Waits for the condition; returns without it after the limit. */
async function waitFor(condition: () => boolean): Promise<void> {
  const deadline = performance.now() + ANSWER_LIMIT_MS;
  while (!condition() && performance.now() < deadline) await setTimeout(5);
}

describe("a process that starts while the store is silent", () => {
  it("reads the configuration", async () => {
    const store = createMemoryStore(createFakeClock());
    await store.swap({
      key: CONFIGURATION_KEY,
      value: "{}",
      expectedRevision: 0,
    });
    const configuration = watchConfiguration({
      store: loseFirstReads({ ...store, listStale: () => store.list("none") }),
      document: { key: CONFIGURATION_KEY, decode: () => ok(TABLE) },
      log,
    });
    await waitFor(() => configuration.table() !== undefined);
    configuration.stop();
    expect(configuration.table()?.version).to.equal(1);
  });

  it("registers as an entry", async () => {
    const store = createMemoryStore(createFakeClock());
    let addresses: readonly string[] = [];
    const membership = joinMembership({
      store: loseFirstReads(store),
      name: "test",
      address: ADDRESS,
      log,
      changed: (changed) => addresses = changed,
    });
    await waitFor(() => addresses.includes(ADDRESS));
    await membership.leave();
    expect(addresses).to.deep.equal([ADDRESS]);
  });

  it("finds entries as a side", async () => {
    const store = createMemoryStore(createFakeClock());
    await store.swap({ key: "entries/a", value: ADDRESS, expectedRevision: 0 });
    let addresses: readonly string[] = [];
    const discovery = discoverEntries({
      store: loseFirstReads(store),
      log,
      isDisconnected: () => true,
      found: (found) => addresses = found,
    });
    await waitFor(() => addresses.includes(ADDRESS));
    discovery.stop();
    expect(addresses).to.deep.equal([ADDRESS]);
  });
});
