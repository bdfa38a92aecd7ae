import { expect } from "chai";
import { createKeyspace, keyOf } from "./keyspace.ts";
import { rangeOfPrefix } from "./key_range.ts";

describe("the keyspace", () => {
  const ALL = rangeOfPrefix("");

  it("raises the revision with each change and with nothing else", () => {
    const keyspace = createKeyspace();
    const before = keyspace.revision();
    keyspace.put({ key: "a", value: "1", expectedRevision: 0 });
    keyspace.put({ key: "a", value: "2", expectedRevision: 0 });
    keyspace.delete({ key: "absent", expectedRevision: 0 });
    expect(keyspace.revision()).to.equal(before + 1);
    expect(keyspace.get("a")?.value).to.equal("1");
  });

  it("keeps a renewed lease and drops one that has run out", () => {
    const keyspace = createKeyspace();
    const kept = keyspace.grant(2, 0);
    const lapsed = keyspace.grant(2, 0);
    for (const { id } of [kept, lapsed]) {
      keyspace.put({ key: id, value: "", expectedRevision: 0, lease: id });
    }
    expect(keyspace.keepAlive(kept.id, 1500)).to.deep.equal(kept);
    expect(keyspace.nextExpiryMs()).to.equal(2000);
    keyspace.expire(2000);
    expect(keyspace.range(ALL).map(({ key }) => key)).to.deep.equal([kept.id]);
    expect(keyspace.keepAlive(lapsed.id, 2000)).to.equal(undefined);
  });

  it("frees a key from a lease when it is written without one", () => {
    const keyspace = createKeyspace();
    const { id } = keyspace.grant(1, 0);
    keyspace.put({ key: "k", value: "", expectedRevision: 0, lease: id });
    const expectedRevision = keyspace.revision();
    keyspace.put({ key: "k", value: "", expectedRevision });
    keyspace.expire(1000);
    expect(keyspace.get("k")).not.to.equal(undefined);
  });

  it("lists the changes of a range from a revision on", () => {
    const keyspace = createKeyspace();
    const { id } = keyspace.grant(1, 0);
    for (const key of ["a/1", "b", "a/2"]) {
      keyspace.put({ key, value: "", expectedRevision: 0, lease: id });
    }
    const from = keyspace.get("b")?.revision ?? 0;
    keyspace.lapseAll();
    const changes = keyspace.changes(rangeOfPrefix("a/"), from);
    expect(changes.map((change) => [change.kind, keyOf(change)])).to.deep.equal(
      [["put", "a/2"], ["delete", "a/1"], ["delete", "a/2"]],
    );
    keyspace.compact(keyspace.revision() - 1);
    expect(keyspace.changes(ALL, 0)).to.have.length(3);
  });
});
