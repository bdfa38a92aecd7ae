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
import { decodeTaggedValue } from "./tagged_value.ts";
import type { Store } from "./store.ts";
import {
  type IdempotentSwap,
  resolveUnknownSwap,
  swapIdempotently,
} from "./idempotent_swap.ts";

const SEED = Number(process.env["SEED"] ?? 20261204);
const TIMEOUT_MS = 100;

describe("an idempotent swap", () => {
  let clock: FakeClock;
  let store: MemoryStore;

  beforeEach(() => {
    clock = createFakeClock();
    store = createMemoryStore(clock, { timeoutMs: TIMEOUT_MS });
  });

  it("accepts a write and passes its body to the next one", async () => {
    expect(await append("a")).to.include({ kind: "accepted", body: "a" });
    expect(await append("b")).to.include({ kind: "accepted", body: "ab" });
  });

  it("leaves the key unchanged when decide returns an error", async () => {
    const swap = await swapIdempotently(store, "k", {
      decide: () => err("no"),
    });
    expect(swap._unsafeUnwrapErr()).to.equal("no");
    expect(store.calls().swap).to.equal(0);
  });

  it("accepts a write whose response was lost", async () => {
    await append("a");
    store.setFaults({ lostAnswers: 1 });
    expect(await append("b")).to.include({ kind: "accepted", body: "ab" });
    expect(await readBody()).to.equal("ab");
  });

  it("accepts a write whose response was lost and that was replaced since", async () => {
    await append("a");
    store.setFaults({ lostAnswers: 1 });
    const swap = await append("b", runBeforeSwap(2, () => append("c")));
    expect(swap).to.include({ kind: "accepted", body: "ab" });
    expect(await readBody()).to.equal("abc");
  });

  it("loses the race when another write came first", async () => {
    await append("a");
    const swap = await append("c", runBeforeSwap(1, () => append("b")));
    expect(swap).to.have.nested.property("current.body", "ab");
    expect(swap.kind).to.equal("lostRace");
    expect(await readBody()).to.equal("ab");
  });

  it("reports a lost race after an attempt with an unknown outcome", async () => {
    await append("a");
    const recover = () => {
      store.setFaults({ outage: "none" });
      return append("b");
    };
    const swap = await append("c", runBeforeSwap(2, recover), () => {
      store.setFaults({ outage: "unavailable" });
    });
    expect(swap.kind).to.equal("lostRace");
    expect(await readBody()).to.equal("ab");
  });

  it("is unknown when another write has no token", async () => {
    await append("a");
    const overwrite = async () => {
      store.setFaults({ outage: "none" });
      const expectedRevision = (await store.list("")).map((listing) =>
        listing.revision
      );
      await store.swap({
        key: "k",
        value: "raw",
        expectedRevision: expectedRevision._unsafeUnwrap(),
      });
    };
    const swap = await append("c", runBeforeSwap(2, overwrite), () => {
      store.setFaults({ outage: "unavailable" });
    });
    expect(swap.kind).to.equal("unknown");
    expect(await readBody()).to.equal("raw");
  });

  it("is unknown while the write may be in flight", async () => {
    await append("a");
    const swapped = append("b", store, () => store.setFaults({ slowMs: 350 }));
    await clock.advance(320);
    const swap = await swapped;
    if (swap.kind !== "unknown") {
      throw new Error(`got ${swap.kind}`);
    }
    store.setFaults({ slowMs: 0 });
    expect((await resolveUnknownSwap(store, swap.write))._unsafeUnwrap().kind)
      .to.equal("unknown");
    await clock.advance(100);
    expect((await resolveUnknownSwap(store, swap.write))._unsafeUnwrap())
      .to.include({ kind: "accepted", body: "ab" });
  });

  it("fails with notRun when all connections are refused", async () => {
    store.setFaults({ outage: "refusing" });
    const swap = await swapIdempotently(store, "k", { decide: () => ok("a") });
    expect(swap._unsafeUnwrapErr()).to.include({ verdict: "notRun" });
  });

  it(`never reports a wrong outcome under random faults, seed ${SEED}`, async () => {
    const step = fc.record({
      writer: fc.nat(2),
      lostAnswers: fc.nat(3),
      slowMs: fc.constantFrom(0, 0, 60, 150, 400),
      waitMs: fc.constantFrom(0, 10, 100, 500),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 25 }), async (steps) => {
        const fakeClock = createFakeClock();
        const service = createMemoryService(fakeClock);
        const writers = [0, 1, 2].map(() =>
          createMemoryStore(fakeClock, { service, timeoutMs: TIMEOUT_MS })
        );
        const outcomes: Promise<
          readonly [string, IdempotentSwap | undefined]
        >[] = [];
        for (const [index, step] of steps.entries()) {
          const { lostAnswers, slowMs } = step;
          service.setFaults({ lostAnswers, slowMs });
          const marker = `<${index}>`;
          outcomes.push(appendWith(writers[step.writer] as Store, marker));
          await fakeClock.advance(step.waitMs);
        }
        service.setFaults({ lostAnswers: 0, slowMs: 0 });
        await fakeClock.advance(10_000);
        const history = decodeTaggedValue(service.keyspace.get("k"))?.body ??
          "";
        for (const [marker, outcome] of await Promise.all(outcomes)) {
          expect(history.split(marker)).to.have.length.below(3);
          if (outcome?.kind === "accepted") {
            expect(history).to.include(marker);
          } else if (outcome?.kind !== "unknown") {
            expect(history).not.to.include(marker);
          }
        }
      }),
      { seed: SEED, numRuns: 150 },
    );
  });

  async function append(
    text: string,
    writerStore: Store = store,
    beforeWrite = () => {},
  ): Promise<IdempotentSwap> {
    const swap = await swapIdempotently(writerStore, "k", {
      decide: (current) => {
        beforeWrite();
        return ok(`${current?.body ?? ""}${text}`);
      },
    });
    return swap._unsafeUnwrap();
  }

  async function readBody(): Promise<string | undefined> {
    return decodeTaggedValue((await store.read("k"))._unsafeUnwrap())?.body;
  }

  /** A store that calls `run` before the swap with this 1-based index. */
  function runBeforeSwap(
    swapIndex: number,
    run: () => Promise<unknown>,
  ): Store {
    let swapCount = 0;
    return {
      ...store,
      swap(write) {
        swapCount++;
        const ready = swapCount === swapIndex ? run() : Promise.resolve();
        return ResultAsync.fromSafePromise(ready)
          .andThen(() => store.swap(write));
      },
    };
  }
});

async function appendWith(
  writerStore: Store,
  marker: string,
): Promise<readonly [string, IdempotentSwap | undefined]> {
  const swap = await swapIdempotently(writerStore, "k", {
    decide: (current) => ok(`${current?.body ?? ""}${marker}`),
  });
  return [marker, swap.unwrapOr(undefined)];
}
