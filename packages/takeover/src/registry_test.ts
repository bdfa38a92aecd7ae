import { expect } from "chai";
import { createRegistry, type Registry } from "./registry.ts";

const OLD = { incarnation: "run-1", registration: 1, side: "side-0" };

const NEW = { incarnation: "run-2", registration: 1 };

describe("the registry of sides", () => {
  let registry: Registry;

  beforeEach(() => {
    registry = createRegistry();
  });

  function known(): string[] {
    return registry.registrations().map(({ incarnation }) => incarnation);
  }

  it("ends a run it never heard when a later run says hello", () => {
    registry.hearOf(OLD, 0);
    registry.hello("side-0", NEW, 1);
    expect(known()).to.deep.equal(["run-2"]);
    expect(registry.endings()).to.have.nested.property(
      "[0].incarnation",
      "run-1",
    );
  });

  it("ends a run that it learns of late once another has proved alive", () => {
    registry.hello("side-0", NEW, 0);
    registry.hearOf(OLD, 10);
    registry.noteAlive("side-0", "run-2", 10);
    expect(known()).to.have.members(["run-1", "run-2"]);
    registry.noteAlive("side-0", "run-2", 11);
    expect(known()).to.deep.equal(["run-2"]);
  });

  it("ends a run that another entry knows to be over", () => {
    registry.hearOf(OLD, 0);
    registry.endedElsewhere({ incarnation: "run-1", registration: 1 });
    expect(known()).to.deep.equal([]);
  });

  it("keeps a run that has registered anew since", () => {
    registry.hearOf({ ...OLD, registration: 2 }, 0);
    registry.endedElsewhere({ incarnation: "run-1", registration: 1 });
    expect(known()).to.deep.equal(["run-1"]);
  });
});
