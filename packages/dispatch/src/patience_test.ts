import { expect } from "chai";
import { createPatience } from "./patience.ts";

const QUEUE = "thumbs";

describe("the age of callers that come back", () => {
  it("is none before a queue's callers are known", () => {
    const patience = createPatience();
    patience.learn(QUEUE, 2000);
    expect(patience.ageMs(QUEUE, 100)).to.equal(0);
  });

  it("is what is missing of the time that callers usually have", () => {
    const patience = createPatience();
    for (let more = 0; more < 50; more += 1) {
      patience.learn(QUEUE, 2000 + 10 * more);
    }
    expect(patience.ageMs(QUEUE, 2000)).to.equal(0);
    expect(patience.ageMs(QUEUE, 700)).to.be.within(1100, 1200);
    expect(patience.ageMs("other", 700)).to.equal(0);
  });

  it("is known to a new process from what others have learnt", () => {
    const before = createPatience();
    for (let count = 0; count < 20; count += 1) before.learn(QUEUE, 2000);
    const after = createPatience();
    after.adopt(before.table());
    expect(after.ageMs(QUEUE, 800)).to.equal(1000);
    expect(after.table()).to.deep.equal(before.table());
  });

  it("follows callers whose usual time changes", () => {
    const patience = createPatience();
    for (let count = 0; count < 64; count += 1) patience.learn(QUEUE, 2000);
    for (let count = 0; count < 64; count += 1) patience.learn(QUEUE, 900);
    expect(patience.ageMs(QUEUE, 900)).to.equal(0);
  });
});
