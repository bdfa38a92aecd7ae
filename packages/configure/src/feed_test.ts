import { expect } from "chai";
import { ok } from "neverthrow";
import { createFakeClock, createMemoryStore } from "@coltsfootreach/standin";
import { applyChange } from "./apply.ts";
import { createConfigurationFeed } from "./feed.ts";
import { createConfigurationKeys } from "./keys.ts";

const KEYS = createConfigurationKeys("fleet/");
const RETRY_MS = 5;

function createFleet() {
  const store = createMemoryStore(createFakeClock());
  const versions: number[] = [];
  const waiting: (() => void)[] = [];
  let failures = 0;
  const wake = () => waiting.splice(0).forEach((resolve) => resolve());
  const feed = createConfigurationFeed({
    store,
    keys: KEYS,
    retryMs: RETRY_MS,
    learned: ({ version }) => {
      versions.push(version);
      wake();
    },
    failed: () => {
      failures++;
      wake();
    },
  });
  return {
    store,
    feed,
    versions,
    failures: () => failures,
    next: () => new Promise<void>((resolve) => waiting.push(resolve)),
    apply: async (text: string, baseVersion: number) => {
      const options = { store, keys: KEYS, check: () => ok(undefined) };
      const outcome = await applyChange(options, {
        text,
        baseVersion,
        author: "op",
        note: "",
        token: `${text.length}-${baseVersion}`,
        atMs: 0,
      });
      expect(outcome._unsafeUnwrap().kind).to.equal("accepted");
    },
  };
}

/** Long enough to stand in parts. */
const LONG_TEXT = "# a line of a long configuration\n".repeat(5_000);

describe("the configuration feed", () => {
  it("learns from one watch on the fleet's prefix, texts in parts too", async () => {
    const { store, feed, versions, next, apply } = createFleet();
    const seen: string[] = [];
    store.watch("fleet/", 1, {
      changed: ({ key, value, revision }) => {
        seen.push(key);
        feed.offer({ key, value: value!, revision });
      },
      ended: () => {},
    });
    for (const [version, text] of ["a", LONG_TEXT, "b"].entries()) {
      const learned = next();
      await apply(text, version);
      await learned;
    }
    expect(versions).to.deep.equal([1, 2, 3]);
    expect(new Set(seen)).to.deep.equal(new Set([KEYS.head]));
    feed.close();
  });

  it("reads again until the store is back", async () => {
    const { store, feed, versions, next, apply, failures } = createFleet();
    await apply("a", 0);
    store.setFaults({ outage: "unavailable" });
    feed.refresh();
    while (failures() < 3) await next();
    expect(versions).to.deep.equal([]);
    store.setFaults({ outage: "none" });
    while (versions.length === 0) await next();
    expect(versions).to.deep.equal([1]);
    feed.close();
  });

  it("says nothing of a store without a configuration", async () => {
    const { store, feed, versions, next, apply } = createFleet();
    feed.refresh();
    await store.read(KEYS.head);
    await apply("a", 0);
    feed.refresh();
    await next();
    expect(versions).to.deep.equal([1]);
    feed.close();
  });
});
