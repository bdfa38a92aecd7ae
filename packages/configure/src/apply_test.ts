import { expect } from "chai";
import { err, errAsync, ok, okAsync } from "neverthrow";
import { InvalidFile, StoreUnavailable } from "@coltsfootreach/errors";
import {
  decodeTaggedValue,
  type Store,
  type Swap,
  type VersionedValue,
  type Write,
} from "@coltsfootreach/store";
import {
  applyChange,
  type ConfigurationChange,
  MAX_INLINE_BYTES,
} from "./apply.ts";
import { createConfigurationKeys } from "./keys.ts";
import { parseRecord } from "./record.ts";
import { createConfigurationRepository } from "./repository.ts";

const KEYS = createConfigurationKeys("t/");

/** A fault to inject into one swap. */
type SwapFault = "down" | "lostAnswer" | "lostRequest";

/** The subset of a store that this package uses, with fault injection. */
function createFakeStore() {
  const values = new Map<string, VersionedValue>();
  /** Faults of the next swaps of the head key, in order. */
  const faults: SwapFault[] = [];
  /** Runs once, just before the next swap of the head key. */
  let beforeHeadSwap: (() => unknown) | undefined;
  let revision = 0;
  const counts = { read: 0, swap: 0 };

  function put(write: Write): Swap {
    const current = values.get(write.key);
    if ((current?.revision ?? 0) !== write.expectedRevision) {
      return { kind: "conflict", current };
    }
    revision++;
    values.set(write.key, { key: write.key, value: write.value, revision });
    return { kind: "swapped", revision };
  }

  function failSwap(fault: SwapFault, write: Write) {
    if (fault === "lostAnswer") put(write);
    const verdict = fault === "down" ? "notRun" : "mayHaveRun";
    return errAsync(new StoreUnavailable(verdict, fault));
  }

  const store = {
    read: (key: string) => {
      counts.read++;
      return okAsync(values.get(key));
    },
    list: (prefix: string) =>
      okAsync({
        values: [...values.values()].filter(({ key }) =>
          key.startsWith(prefix)
        ),
        revision,
      }),
    swap: (write: Write) => {
      counts.swap++;
      if (write.key !== KEYS.head) return okAsync(put(write));
      const callback = beforeHeadSwap;
      beforeHeadSwap = undefined;
      callback?.();
      const fault = faults.shift();
      return fault === undefined ? okAsync(put(write)) : failSwap(fault, write);
    },
    remove: (key: string, expectedRevision: number) => {
      const current = values.get(key);
      if (current?.revision !== expectedRevision) {
        return okAsync<Swap>({ kind: "conflict", current });
      }
      values.delete(key);
      return okAsync<Swap>({ kind: "swapped", revision });
    },
  } as Partial<Store> as Store;

  return {
    store,
    values,
    faults,
    counts,
    put,
    runBeforeHeadSwap: (callback: () => unknown) => beforeHeadSwap = callback,
  };
}

type FakeStore = ReturnType<typeof createFakeStore>;

let tokenCount = 0;

function change(text: string, baseVersion: number): ConfigurationChange {
  tokenCount++;
  return {
    text,
    baseVersion,
    author: "op",
    note: "",
    token: `token-${tokenCount}`,
    atMs: 1,
  };
}

async function apply(
  fake: FakeStore,
  edit: ConfigurationChange,
  historyLimit = 50,
) {
  const check = () => ok(undefined);
  const options = { store: fake.store, keys: KEYS, check, historyLimit };
  return (await applyChange(options, edit))._unsafeUnwrap();
}

async function textInForce(fake: FakeStore) {
  const repository = createConfigurationRepository({
    store: fake.store,
    keys: KEYS,
  });
  const head = (await repository.readHead())._unsafeUnwrap()!;
  return (await repository.readText(head.record))._unsafeUnwrap();
}

/** The parts that a head or a history record refers to. */
function partKeysOf(found: VersionedValue): readonly string[] {
  const record = parseRecord(found.key, decodeTaggedValue(found)!.body);
  return record._unsafeUnwrap().parts.map(({ key }) => key);
}

/** A text of many tables, about 60 bytes each. */
function longText(tables: number): string {
  return Array.from(
    { length: tables },
    (_, i) => `[[workers]]\nname = "worker-${i}"\ndata_centre = "kiln-yard"\n`,
  ).join("");
}

describe("applying a change", () => {
  it("increments the version and keeps the earlier one", async () => {
    const fake = createFakeStore();
    expect(await apply(fake, change("a", 0)))
      .to.deep.equal({ kind: "accepted", version: 1 });
    expect(await apply(fake, change("b", 1)))
      .to.deep.equal({ kind: "accepted", version: 2 });
    expect(await textInForce(fake)).to.deep.equal({ version: 2, text: "b" });
    const kept = JSON.parse(fake.values.get(KEYS.history(1))!.value);
    expect(kept).to.include({ version: 1, text: "a" });
  });

  it("reports a text that is already in force as unchanged", async () => {
    const fake = createFakeStore();
    await apply(fake, change("a", 0));
    expect(await apply(fake, change("a", 0)))
      .to.deep.equal({ kind: "unchanged", version: 1 });
  });

  it("writes nothing when the text fails its check", async () => {
    const fake = createFakeStore();
    const check = () => err(new InvalidFile("f.toml", "x", "unknown key"));
    const options = { store: fake.store, keys: KEYS, check };
    const result = await applyChange(options, change("a", 0));
    expect(result._unsafeUnwrapErr().message).to.include("unknown key");
    expect(fake.counts.swap).to.equal(0);
  });

  it("reports a conflict to the later of two edits", async () => {
    const fake = createFakeStore();
    await apply(fake, change("a", 0));
    await apply(fake, change("b", 1));
    const outcome = await apply(fake, change("c", 1));
    expect(outcome.kind).to.equal("conflict");
    expect((await textInForce(fake)).text).to.equal("b");
  });

  it("reports a conflict when the head changes after the read", async () => {
    const fake = createFakeStore();
    await apply(fake, change("a", 0));
    const competing = fake.values.get(KEYS.head)!.value
      .replace('\\"version\\":1', '\\"version\\":2')
      .replaceAll("token-", "other-");
    const expectedRevision = fake.values.get(KEYS.head)!.revision;
    fake.runBeforeHeadSwap(() =>
      fake.put({ key: KEYS.head, value: competing, expectedRevision })
    );
    const outcome = await apply(fake, change("c", 1));
    expect(outcome).to.have.nested.property("current.version", 2);
    expect(fake.values.get(KEYS.head)!.value).to.equal(competing);
  });

  it("accepts exactly one of many concurrent edits", async () => {
    const fake = createFakeStore();
    await apply(fake, change("a", 0));
    const edits = [..."bcdefgh"].map((text) => apply(fake, change(text, 1)));
    const kinds = (await Promise.all(edits)).map(({ kind }) => kind);
    expect(kinds.filter((kind) => kind === "accepted")).to.have.lengthOf(1);
    expect(kinds.filter((kind) => kind === "conflict")).to.have.lengthOf(6);
  });

  it("reports accepted when the response was lost after the write", async () => {
    const fake = createFakeStore();
    fake.faults.push("lostAnswer");
    expect(await apply(fake, change("a", 0)))
      .to.deep.equal({ kind: "accepted", version: 1 });
    expect((await textInForce(fake)).version).to.equal(1);
  });

  it("finds its own write after another operator's later version", async () => {
    const fake = createFakeStore();
    await apply(fake, change("a", 0));
    fake.faults.push("lostAnswer");
    const swap = fake.store.swap;
    const swapped = { count: 0 };
    fake.store.swap = (write) => {
      const answer = swap(write);
      if (write.key === KEYS.head && swapped.count++ === 0) {
        fake.store.swap = swap;
        return answer.orElse((lost) =>
          okAsync(undefined).map(() => apply(fake, change("c", 2)))
            .andThen(() => errAsync(lost))
        );
      }
      return answer;
    };
    expect(await apply(fake, change("b", 1)))
      .to.deep.equal({ kind: "accepted", version: 2 });
    expect(await textInForce(fake)).to.deep.equal({ version: 3, text: "c" });
  });

  it("retries a lost request", async () => {
    const fake = createFakeStore();
    fake.faults.push("lostRequest");
    expect((await apply(fake, change("a", 0))).kind).to.equal("accepted");
  });

  it("reports unknown while the store does not respond", async () => {
    const fake = createFakeStore();
    fake.faults.push("lostAnswer", "down", "down", "down");
    const edit = change("a", 0);
    const outcome = await apply(fake, edit);
    expect(outcome).to.include({ kind: "unknown", token: edit.token });
    expect(await apply(fake, edit)).to.include({ kind: "unchanged" });
  });

  it("reports notRun when no request reached the store", async () => {
    const fake = createFakeStore();
    fake.faults.push("down", "down", "down", "down");
    const check = () => ok(undefined);
    const options = { store: fake.store, keys: KEYS, check };
    const result = await applyChange(options, change("a", 0));
    expect(result._unsafeUnwrapErr().verdict).to.equal("notRun");
    expect(fake.values.size).to.equal(0);
  });

  it("keeps a bounded history", async () => {
    const fake = createFakeStore();
    for (let version = 0; version < 8; version++) {
      await apply(fake, change(`text ${version}`, version), 3);
    }
    expect([...fake.values.keys()]).to.have.members(
      [KEYS.head, KEYS.history(5), KEYS.history(6), KEYS.history(7)],
    );
  });

  it("stores a long text in parts and rewrites only changed parts", async () => {
    const fake = createFakeStore();
    const text = longText(20_000);
    expect(text.length).to.be.greaterThan(1024 * 1024);
    await apply(fake, change(text, 0));
    expect(await textInForce(fake)).to.deep.equal({ version: 1, text });
    const largest = Math.max(
      ...[...fake.values.values()].map(({ value }) => value.length),
    );
    expect(largest).to.be.lessThan(1024 * 1024);
    const parts = fake.values.size;
    const edited = text.replace("worker-9999", "worker-renamed");
    await apply(fake, change(edited, 1));
    expect((await textInForce(fake)).text).to.equal(edited);
    const added = fake.values.size - parts;
    expect(added).to.be.at.most(4);
  });

  it("removes the parts that no kept version refers to", async () => {
    const fake = createFakeStore();
    const text = longText(2_000);
    expect(text.length).to.be.greaterThan(MAX_INLINE_BYTES);
    for (let version = 0; version < 6; version++) {
      await apply(fake, change(`# ${version}\n${text}`, version), 1);
    }
    const needed = new Set(
      [KEYS.head, KEYS.history(5)].flatMap((key) =>
        partKeysOf(fake.values.get(key)!)
      ),
    );
    const stored = [...fake.values.keys()]
      .filter((key) => key.includes("/parts/"));
    expect(new Set(stored)).to.deep.equal(needed);
  });
});
