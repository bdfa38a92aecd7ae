import { expect } from "chai";
import { createHealth, type Health } from "./index.ts";

const RULES = {
  held: [] as ("eject" | "readmit")[],
  ejectFailureRatio: 0.5,
  ejectAtMost: 0.3,
  probationMs: 1_000,
  configurationVersion: 7,
};

function create(rules = RULES): Health {
  let acts = 0;
  return createHealth({
    rules: () => rules,
    sides: () => 10,
    nextId: () => `act-${acts++}`,
  });
}

function end(health: Health, side: string, failed: boolean, times: number) {
  const acts = [];
  for (let step = 0; step < times; step++) {
    const act = health.observe({ side, failed }, 0);
    if (act !== undefined) acts.push(act);
  }
  return acts;
}

describe("createHealth", () => {
  it("ejects a side that fails all it starts, with the figures", () => {
    const health = create();
    end(health, "good", false, 50);
    const [act] = end(health, "bad", true, 20);
    expect(act).to.include({ kind: "eject", subject: "bad" });
    expect(act!.configurationVersion).to.equal(7);
    expect(act!.figures).to.include({ failureRatio: 1, ended: 8 });
    expect(health.standing("bad", 1)).to.equal("out");
    expect(health.standing("good", 1)).to.equal("in");
  });

  it("ejects a busy side soon after it began to fail", () => {
    const health = create();
    end(health, "good", false, 500);
    end(health, "bad", false, 500);
    expect(end(health, "bad", true, 10)).to.have.length(1);
  });

  it("ejects nobody when all sides fail alike", () => {
    const health = create();
    for (let step = 0; step < 50; step++) {
      for (let side = 0; side < 10; side++) {
        expect(end(health, `s${side}`, step % 4 !== 0, 1)).to.deep.equal([]);
      }
    }
  });

  it("keeps to the ceiling on sides that are out at once", () => {
    const health = create();
    for (let side = 0; side < 10; side++) end(health, `good${side}`, false, 50);
    for (let side = 0; side < 5; side++) end(health, `bad${side}`, true, 20);
    expect(health.ejected()).to.have.length(3);
  });

  it("tries an ejected side with one task and readmits it", () => {
    const health = create();
    end(health, "good", false, 50);
    end(health, "bad", true, 10);
    expect(health.standing("bad", 1_000)).to.equal("trial");
    health.startTrial("bad", 1_000);
    expect(health.standing("bad", 1_000)).to.equal("out");
    const act = health.observe({ side: "bad", failed: false }, 1_100);
    expect(act).to.include({ kind: "readmit", subject: "bad" });
    expect(health.standing("bad", 1_100)).to.equal("in");
  });

  it("doubles the probation after a failed trial", () => {
    const health = create();
    end(health, "good", false, 50);
    end(health, "bad", true, 10);
    health.startTrial("bad", 1_000);
    health.observe({ side: "bad", failed: true }, 1_001);
    expect(health.standing("bad", 3_000)).to.equal("out");
    expect(health.standing("bad", 3_001)).to.equal("trial");
  });

  it("does nothing that operators hold", () => {
    const health = create({ ...RULES, held: ["eject"] });
    end(health, "good", false, 50);
    expect(end(health, "bad", true, 50)).to.deep.equal([]);
  });
});
