/**
 * Guards against processes that end, or that stop following the list of entries,
 * because another program left a value there that is no address.
 */
import { createLog } from "@coltsfootreach/log";
import {
  type DispatchFrame,
  isWorkFrame,
  type WorkFrame,
} from "@coltsfootreach/run";
import {
  createFakeClock,
  createMemoryStore,
  SAMPLE_TIMING,
} from "@coltsfootreach/standin";
import type { Store } from "@coltsfootreach/store";
import { listenForStreams } from "@coltsfootreach/stream";
import { expect } from "chai";
import fc from "fast-check";
import { setTimeout } from "node:timers/promises";
import { createEntryAddresses } from "./entry_addresses.ts";
import { joinMembership } from "./membership.ts";
import { startPeriodic } from "./periodic.ts";
import type { BackendServerClient } from "./ports.ts";
import { startSide } from "./side_process.ts";

const NESTING = 50_000;

/** Values that other programs may leave among the registrations. */
const ODD_VALUES: Readonly<Record<string, string>> = {
  "a-unreadable": Buffer.from([0xff, 0xfe, 0, 0x9c]).toString(),
  "b-port-out-of-range": "127.0.0.1:70000",
  "c-huge-port": `127.0.0.1:${"9".repeat(400)}`,
  "d-negative-port": "127.0.0.1:-1",
  "e-no-port": "127.0.0.1",
  "f-nested": "[".repeat(NESTING) + "]".repeat(NESTING),
  "g-object": JSON.stringify({ address: "127.0.0.1", port: 1e300 }),
  "h-empty": "",
  "i-name": "entry.example:80",
};

const WAIT_LIMIT_MS = 10_000;

/** Several reads of the list. */
const FOLLOWED_MS = 700;

async function waitUntil(
  isDone: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = performance.now() + WAIT_LIMIT_MS;
  while (!(await isDone()) && performance.now() < deadline) await setTimeout(5);
}

/** Backend server that never replies. */
const SILENT_SERVER: BackendServerClient = {
  start: () => new Promise(() => {}),
  stop: () => new Promise(() => {}),
  list: () => new Promise(() => {}),
};

function createTestLog(lines: string[] = []) {
  return createLog({
    role: "side",
    name: "test",
    incarnation: "1",
    level: "warn",
    write: (line) => lines.push(line),
  });
}

async function createOddStore(): Promise<Store> {
  const store = createMemoryStore(createFakeClock());
  for (const [name, value] of Object.entries(ODD_VALUES)) {
    await store.swap({ key: `entries/${name}`, value, expectedRevision: 0 });
  }
  return store;
}

async function register(store: Store, name: string, address: string) {
  const key = `entries/${name}`;
  await store.swap({ key, value: address, expectedRevision: 0 });
}

/** An entry that forwards the odd values to sides that connect to it. */
async function startForwardingEntry() {
  let connections = 0;
  const server = await listenForStreams<WorkFrame, DispatchFrame>({
    address: "127.0.0.1:0",
    isFrame: isWorkFrame,
    accept(stream) {
      connections += 1;
      const entries = Object.values(ODD_VALUES);
      stream.send({
        kind: "dispatch",
        sequence: 1,
        offers: [],
        stops: [],
        entries,
      });
      return { received() {}, drained() {}, closed() {} };
    },
  });
  const { port, close } = server._unsafeUnwrap();
  return {
    address: `127.0.0.1:${port}`,
    close,
    connections: () => connections,
  };
}

describe("odd values among the entries", () => {
  it("leave a side connected to the entries that are valid", async () => {
    const store = await createOddStore();
    const first = await startForwardingEntry();
    const second = await startForwardingEntry();
    await register(store, "valid-1", first.address);
    const lines: string[] = [];
    const side = startSide({
      name: "side",
      dataCentre: "a",
      timing: SAMPLE_TIMING,
      store,
      backendServer: SILENT_SERVER,
      log: createTestLog(lines),
    });
    await waitUntil(() => first.connections() > 0);
    const afterFirst = first.connections();
    first.close();
    await register(store, "valid-2", second.address);
    await waitUntil(() => second.connections() > 0);
    const afterSecond = second.connections();
    await side.stop(0);
    second.close();
    expect(afterFirst).to.equal(1);
    expect(afterSecond).to.equal(1);
    const ignored = lines.filter((line) => line.includes("not an address"));
    expect(ignored).to.have.length(Object.keys(ODD_VALUES).length);
  });

  it("are not forwarded by an entry, and don't hide its own registration", async () => {
    const store = await createOddStore();
    const address = "10.0.0.1:7000";
    let addresses: readonly string[] = [];
    const membership = joinMembership({
      store,
      name: "own",
      address,
      log: createTestLog(),
      changed: (changed) => addresses = changed,
    });
    await waitUntil(() => addresses.length > 0);
    await setTimeout(FOLLOWED_MS);
    await membership.leave();
    expect(addresses).to.deep.equal([address]);
  });

  it("are replaced where they overwrite an entry's own registration", async () => {
    const store = createMemoryStore(createFakeClock());
    const address = "10.0.0.1:7000";
    const membership = joinMembership({
      store,
      name: "own",
      address,
      log: createTestLog(),
      changed() {},
    });
    const readOwn = async () =>
      (await store.read("entries/own"))._unsafeUnwrap();
    await waitUntil(async () => await readOwn() !== undefined);
    const own = await readOwn();
    await store.swap({
      key: "entries/own",
      value: "127.0.0.1:70000",
      expectedRevision: own!.revision,
    });
    await waitUntil(async () => (await readOwn())?.value === address);
    const repaired = await readOwn();
    await membership.leave();
    expect(repaired?.value).to.equal(address);
  });

  it("are dropped whatever they are, and the others hold", () => {
    const valid = "10.0.0.1:7000";
    const value = fc.oneof(
      fc.string({ unit: "binary" }),
      fc.json(),
      fc.tuple(fc.ipV4(), fc.integer()).map((parts) => parts.join(":")),
    );
    fc.assert(
      fc.property(fc.array(value), (values) => {
        const selected = createEntryAddresses(createTestLog()).select(
          [valid, ...values].map((text, revision) => ({
            key: `entries/${revision}`,
            value: text,
            revision,
          })),
        );
        expect(selected).to.include(valid);
        expect(new Set(selected).size).to.equal(selected.length);
      }),
    );
  });
});

describe("a periodic task", () => {
  it("goes on after a run that failed", async () => {
    const lines: string[] = [];
    let runs = 0;
    const task = startPeriodic({
      name: "test",
      log: createTestLog(lines),
      run() {
        runs += 1;
        return Promise.reject(new Error("odd"));
      },
      intervalMs: () => 5,
    });
    await setTimeout(100);
    task.stop();
    expect(runs).to.be.above(2);
    expect(lines).to.have.length(runs);
  });
});
