import { expect } from "chai";
import { ok } from "neverthrow";
import { createFakeClock, createMemoryStore } from "@coltsfootreach/standin";
import { applyChange } from "./apply.ts";
import { createConfigurationFeed } from "./feed.ts";
import { createConfigurationKeys } from "./keys.ts";

const KEYS = createConfigurationKeys("fleet/");
const RETRY_MS = 5;

function createFixture() {
  const store = createMemoryStore(createFakeClock());
  const versions: number[] = [];
  const waiters: (() => void)[] = [];
  let failures = 0;
  const wakeWaiters = () => waiters.splice(0).forEach((resolve) => resolve());
  const feed = createConfigurationFeed({
    store,
    keys: KEYS,
    retryMs: RETRY_MS,
    learned: ({ version }) => {
      versions.push(version);
      wakeWaiters();
    },
    failed: () => {
      failures++;
      wakeWaiters();
    },
  });
  return {
    store,
    feed,
    versions,
    failures: () => failures,
    nextEvent: () => new Promise<void>((resolve) => waiters.push(resolve)),
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

/** Long enough to be stored in parts. */
const LONG_TEXT = "# a line of a long configuration\n".repeat(5_000);

describe("the configuration feed", () => {
  it("receives versions from one watch, including texts stored in parts", async () => {
    const { store, feed, versions, nextEvent, apply } = createFixture();
    const seen: string[] = [];
    store.watch("fleet/", 1, {
      changed: ({ key, value, revision }) => {
        seen.push(key);
        feed.offer({ key, value: value!, revision });
      },
      ended: () => {},
    });
    for (const [version, text] of ["a", LONG_TEXT, "b"].entries()) {
      const learned = nextEvent();
      await apply(text, version);
      await learned;
    }
    expect(versions).to.deep.equal([1, 2, 3]);
    expect(new Set(seen)).to.deep.equal(new Set([KEYS.head]));
    feed.close();
  });

  it("retries reads until the store is available", async () => {
    const { store, feed, versions, nextEvent, apply, failures } =
      createFixture();
    await apply("a", 0);
    store.setFaults({ outage: "unavailable" });
    feed.refresh();
    while (failures() < 3) await nextEvent();
    expect(versions).to.deep.equal([]);
    store.setFaults({ outage: "none" });
    while (versions.length === 0) await nextEvent();
    expect(versions).to.deep.equal([1]);
    feed.close();
  });

  it("reports nothing while the store has no configuration", async () => {
    const { store, feed, versions, nextEvent, apply } = createFixture();
    feed.refresh();
    await store.read(KEYS.head);
    await apply("a", 0);
    feed.refresh();
    await nextEvent();
    expect(versions).to.deep.equal([1]);
    feed.close();
  });
});
