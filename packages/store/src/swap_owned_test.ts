import {
  createFakeClock,
  createMemoryService,
  createMemoryStore,
  type FakeClock,
  type MemoryStore,
} from "@coltsfootreach/standin";
import { expect } from "chai";
import fc from "fast-check";
import { err, ok, ResultAsync } from "neverthrow";
import { decodeOwned } from "./owned_value.ts";
import type { Store } from "./store.ts";
import { type OwnedSwap, settleOwned, swapOwned } from "./swap_owned.ts";

const SEED = Number(process.env["SEED"] ?? 20261204);
const TIMEOUT_MS = 100;

describe("an owned swap", () => {
  let clock: FakeClock;
  let store: MemoryStore;

  beforeEach(() => {
    clock = createFakeClock();
    store = createMemoryStore(clock, { timeoutMs: TIMEOUT_MS });
  });

  it("accepts a write and shows the next one what it builds on", async () => {
    expect(await append("a")).to.include({ kind: "accepted", body: "a" });
    expect(await append("b")).to.include({ kind: "accepted", body: "ab" });
  });

  it("leaves the key as it is when the decision is an error", async () => {
    const swap = await swapOwned(store, "k", { decide: () => err("no") });
    expect(swap._unsafeUnwrapErr()).to.equal("no");
    expect(store.calls().swap).to.equal(0);
  });

  it("accepts a write whose answer was lost", async () => {
    await append("a");
    store.setFaults({ lostAnswers: 1 });
    expect(await append("b")).to.include({ kind: "accepted", body: "ab" });
    expect(await body()).to.equal("ab");
  });

  it("accepts a lost answer although another wrote on top of it", async () => {
    await append("a");
    store.setFaults({ lostAnswers: 1 });
    const swap = await append("b", beforeSwap(2, () => append("c")));
    expect(swap).to.include({ kind: "accepted", body: "ab" });
    expect(await body()).to.equal("abc");
  });

  it("loses the race when another wrote first", async () => {
    await append("a");
    const swap = await append("c", beforeSwap(1, () => append("b")));
    expect(swap).to.have.nested.property("current.body", "ab");
    expect(swap.kind).to.equal("lostRace");
    expect(await body()).to.equal("ab");
  });

  it("proves a lost race although an answer was in doubt", async () => {
    await append("a");
    const recover = () => {
      store.setFaults({ outage: "none" });
      return append("b");
    };
    const swap = await append("c", beforeSwap(2, recover), () => {
      store.setFaults({ outage: "unavailable" });
    });
    expect(swap.kind).to.equal("lostRace");
    expect(await body()).to.equal("ab");
  });

  it("proves nothing when another wrote without a token", async () => {
    await append("a");
    const overwrite = async () => {
      store.setFaults({ outage: "none" });
      const expectedRevision = (await store.list("")).map((it) => it.revision);
      await store.swap({
        key: "k",
        value: "raw",
        expectedRevision: expectedRevision._unsafeUnwrap(),
      });
    };
    const swap = await append("c", beforeSwap(2, overwrite), () => {
      store.setFaults({ outage: "unavailable" });
    });
    expect(swap.kind).to.equal("unknown");
    expect(await body()).to.equal("raw");
  });

  it("stays unknown while its write may be on its way", async () => {
    await append("a");
    const swapped = append("b", store, () => store.setFaults({ slowMs: 350 }));
    await clock.advance(320);
    const swap = await swapped;
    if (swap.kind !== "unknown") {
      throw new Error(`got ${swap.kind}`);
    }
    store.setFaults({ slowMs: 0 });
    expect((await settleOwned(store, swap.write))._unsafeUnwrap().kind)
      .to.equal("unknown");
    await clock.advance(100);
    expect((await settleOwned(store, swap.write))._unsafeUnwrap())
      .to.include({ kind: "accepted", body: "ab" });
  });

  it("is sure that nothing was written in an outage", async () => {
    store.setFaults({ outage: "refusing" });
    const swap = await swapOwned(store, "k", { decide: () => ok("a") });
    expect(swap._unsafeUnwrapErr()).to.include({ verdict: "notRun" });
  });

  it(`tells the truth under any faults, seed ${SEED}`, async () => {
    const step = fc.record({
      writer: fc.nat(2),
      lostAnswers: fc.nat(3),
      slowMs: fc.constantFrom(0, 0, 60, 150, 400),
      waitMs: fc.constantFrom(0, 10, 100, 500),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 25 }), async (steps) => {
        const time = createFakeClock();
        const service = createMemoryService(time);
        const writers = [0, 1, 2].map(() =>
          createMemoryStore(time, { service, timeoutMs: TIMEOUT_MS })
        );
        const outcomes: Promise<readonly [string, OwnedSwap | undefined]>[] =
          [];
        for (const [index, step] of steps.entries()) {
          const { lostAnswers, slowMs } = step;
          service.setFaults({ lostAnswers, slowMs });
          const name = `<${index}>`;
          outcomes.push(appendBy(writers[step.writer] as Store, name));
          await time.advance(step.waitMs);
        }
        service.setFaults({ lostAnswers: 0, slowMs: 0 });
        await time.advance(10_000);
        const history = decodeOwned(service.keyspace.get("k"))?.body ?? "";
        for (const [name, outcome] of await Promise.all(outcomes)) {
          expect(history.split(name)).to.have.length.below(3);
          if (outcome?.kind === "accepted") {
            expect(history).to.include(name);
          } else if (outcome?.kind !== "unknown") {
            expect(history).not.to.include(name);
          }
        }
      }),
      { seed: SEED, numRuns: 150 },
    );
  });

  async function append(
    text: string,
    by: Store = store,
    beforeWrite = () => {},
  ): Promise<OwnedSwap> {
    const swap = await swapOwned(by, "k", {
      decide: (current) => {
        beforeWrite();
        return ok(`${current?.body ?? ""}${text}`);
      },
    });
    return swap._unsafeUnwrap();
  }

  async function body(): Promise<string | undefined> {
    return decodeOwned((await store.read("k"))._unsafeUnwrap())?.body;
  }

  /** The store, with something else done before its n-th swap. */
  function beforeSwap(nth: number, run: () => Promise<unknown>): Store {
    let swaps = 0;
    return {
      ...store,
      swap(write) {
        swaps++;
        const ready = swaps === nth ? run() : Promise.resolve();
        return ResultAsync.fromSafePromise(ready)
          .andThen(() => store.swap(write));
      },
    };
  }
});

async function appendBy(
  by: Store,
  name: string,
): Promise<readonly [string, OwnedSwap | undefined]> {
  const swap = await swapOwned(by, "k", {
    decide: (current) => ok(`${current?.body ?? ""}${name}`),
  });
  return [name, swap.unwrapOr(undefined)];
}
