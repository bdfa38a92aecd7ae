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
import { applyChange, type Change, LONGEST_INLINE_BYTES } from "./apply.ts";
import { createConfigurationKeys } from "./keys.ts";
import { parseRecord } from "./record.ts";
import { createConfigurationRepository } from "./repository.ts";

const KEYS = createConfigurationKeys("t/");

/** What happens to one swap instead of its normal course. */
type SwapFault = "down" | "lostAnswer" | "lostRequest";

/** The parts of a store that configuration uses, with scripted faults. */
function createFakeStore() {
  const values = new Map<string, VersionedValue>();
  /** Faults of the next swaps of the head key, in order. */
  const faults: SwapFault[] = [];
  /** Runs once, just before the next swap of the head key. */
  let beforeSwap: (() => unknown) | undefined;
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
      const interlude = beforeSwap;
      beforeSwap = undefined;
      interlude?.();
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
    interrupt: (interlude: () => unknown) => beforeSwap = interlude,
  };
}

type FakeStore = ReturnType<typeof createFakeStore>;

let tokens = 0;

function change(text: string, baseVersion: number): Change {
  tokens++;
  return {
    text,
    baseVersion,
    author: "op",
    note: "",
    token: `token-${tokens}`,
    atMs: 1,
  };
}

async function apply(fake: FakeStore, edit: Change, historyLimit = 50) {
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
  it("raises the version and keeps the earlier one", async () => {
    const fake = createFakeStore();
    expect(await apply(fake, change("a", 0)))
      .to.deep.equal({ kind: "accepted", version: 1 });
    expect(await apply(fake, change("b", 1)))
      .to.deep.equal({ kind: "accepted", version: 2 });
    expect(await textInForce(fake)).to.deep.equal({ version: 2, text: "b" });
    const kept = JSON.parse(fake.values.get(KEYS.history(1))!.value);
    expect(kept).to.include({ version: 1, text: "a" });
  });

  it("tells of a text that is in force already", async () => {
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

  it("tells the later of two edits of the conflict", async () => {
    const fake = createFakeStore();
    await apply(fake, change("a", 0));
    await apply(fake, change("b", 1));
    const outcome = await apply(fake, change("c", 1));
    expect(outcome.kind).to.equal("conflict");
    expect((await textInForce(fake)).text).to.equal("b");
  });

  it("tells an edit that loses the race after its read", async () => {
    const fake = createFakeStore();
    await apply(fake, change("a", 0));
    const rival = fake.values.get(KEYS.head)!.value
      .replace('\\"version\\":1', '\\"version\\":2')
      .replaceAll("token-", "rival-");
    const expectedRevision = fake.values.get(KEYS.head)!.revision;
    fake.interrupt(() =>
      fake.put({ key: KEYS.head, value: rival, expectedRevision })
    );
    const outcome = await apply(fake, change("c", 1));
    expect(outcome).to.have.nested.property("current.version", 2);
    expect(fake.values.get(KEYS.head)!.value).to.equal(rival);
  });

  it("lets exactly one of many racing edits in", async () => {
    const fake = createFakeStore();
    await apply(fake, change("a", 0));
    const edits = [..."bcdefgh"].map((text) => apply(fake, change(text, 1)));
    const kinds = (await Promise.all(edits)).map(({ kind }) => kind);
    expect(kinds.filter((kind) => kind === "accepted")).to.have.lengthOf(1);
    expect(kinds.filter((kind) => kind === "conflict")).to.have.lengthOf(6);
  });

  it("says accepted when the answer was lost after the write", async () => {
    const fake = createFakeStore();
    fake.faults.push("lostAnswer");
    expect(await apply(fake, change("a", 0)))
      .to.deep.equal({ kind: "accepted", version: 1 });
    expect((await textInForce(fake)).version).to.equal(1);
  });

  it("finds its lost write under another operator's version", async () => {
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

  it("sends a lost request again", async () => {
    const fake = createFakeStore();
    fake.faults.push("lostRequest");
    expect((await apply(fake, change("a", 0))).kind).to.equal("accepted");
  });

  it("says unknown while the store gives no answer", async () => {
    const fake = createFakeStore();
    fake.faults.push("lostAnswer", "down", "down", "down");
    const edit = change("a", 0);
    const outcome = await apply(fake, edit);
    expect(outcome).to.include({ kind: "unknown", token: edit.token });
    expect(await apply(fake, edit)).to.include({ kind: "unchanged" });
  });

  it("says not run when no request reached the store", async () => {
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

  it("puts a long text into parts and rewrites only what changed", async () => {
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

  it("drops the parts that no kept version needs", async () => {
    const fake = createFakeStore();
    const text = longText(2_000);
    expect(text.length).to.be.greaterThan(LONGEST_INLINE_BYTES);
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
