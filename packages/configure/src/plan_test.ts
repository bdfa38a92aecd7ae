import { readFileSync } from "node:fs";
import { expect } from "chai";
import { parseConfiguration } from "@coltsfootreach/inventory";
import type { ParsedConfiguration } from "@coltsfootreach/types";
import type { WorkloadSnapshot } from "./effect.ts";
import { planChange } from "./plan.ts";

const EXAMPLE_TEXT = readFileSync(
  new URL("../../../examples/delta.toml", import.meta.url),
  "utf8",
);

const RUNNING: WorkloadSnapshot = {
  servers: [
    { server: "pot-dispatch-01", slots: 8, running: 5, queued: 2 },
    { server: "pot-dispatch-02", slots: 8, running: 4, queued: 0 },
  ],
  tenants: [{ tenant: "kiln-crews", waiting: 30, running: 6 }],
  classes: [{ class: "heat-check", waiting: 20, running: 4 }],
  entries: ["entry-1-aa"],
};

function parse(text: string, version: number): ParsedConfiguration {
  return parseConfiguration({ version, text })._unsafeUnwrap();
}

function plan(...edits: readonly [string, string][]) {
  const next = edits.reduce((text, [from, to]) => {
    expect(text).to.include(from);
    return text.replace(from, to);
  }, EXAMPLE_TEXT);
  return planChange(parse(EXAMPLE_TEXT, 4), parse(next, 5), RUNNING);
}

function effectsOn(subject: string, ...edits: readonly [string, string][]) {
  return plan(...edits).effects
    .filter((effect) => effect.subject === subject)
    .map(({ severity, text }) => `${severity}: ${text}`).join("\n");
}

describe("a plan", () => {
  it("is empty when nothing changes", () => {
    expect(plan()).to.deep.equal({
      fromVersion: 4,
      differences: [],
      effects: [],
    });
  });

  it("lists what is added, removed and changed", () => {
    const { differences } = plan(
      ['"bindery-desks"', '"new-desks"'],
      ["weight = 2", "weight = 3"],
    );
    expect(differences).to.deep.equal([
      {
        section: "tenants",
        name: "bindery-desks",
        change: "removed",
        fields: [],
      },
      {
        section: "tenants",
        name: "kiln-crews",
        change: "changed",
        fields: [{ field: "weight", from: 2, to: 3 }],
      },
      { section: "tenants", name: "new-desks", change: "added", fields: [] },
    ]);
  });

  it("lists all items as added when there was no version", () => {
    const first = planChange(undefined, parse(EXAMPLE_TEXT, 1), RUNNING);
    expect(first.fromVersion).to.equal(0);
    expect(first.differences).to.have.lengthOf(3 + 10 + 10 + 2 + 3);
  });

  it("has no capacity effect for slots that were already drained", () => {
    const drained = EXAMPLE_TEXT.replace(
      "drained = []",
      'drained = ["pot-dispatch-01"]',
    );
    const held = drained.replace("held = []", 'held = ["eject"]');
    const { effects } = planChange(parse(drained, 4), parse(held, 5), RUNNING);
    expect(effects.map(({ subject }) => subject)).to.deep.equal(["eject"]);
  });

  const cases: readonly [string, string, string, string, string][] = [
    [
      "a drained server",
      "pot-dispatch-01",
      "drained = []",
      'drained = ["pot-dispatch-01"]',
      "notice: gets no new work; 5 running tasks end as usual and 2 queued",
    ],
    [
      "a drain that leaves too few slots",
      "capacity",
      "drained = []",
      'drained = ["pot-dispatch-01"]',
      "warning: 8 of 16 slots stay in use; 9 are busy",
    ],
    [
      "a drain of all servers",
      "capacity",
      "drained = []",
      'drained = ["pot-dispatch-01", "pot-dispatch-02"]',
      "warning: no backend server is left",
    ],
    [
      "a drain of a server that is not present",
      "pot-dispatch-77",
      "drained = []",
      'drained = ["pot-dispatch-77"]',
      "warning: is drained, but no such backend server",
    ],
    [
      "a removed tenant",
      "kiln-crews",
      '"kiln-crews"',
      '"other-crews"',
      "warning: is removed: new jobs are refused; 30 waiting and 6 running",
    ],
    [
      "a lowered limit on waiting tasks",
      "kiln-crews",
      "max_queued = 20000",
      "max_queued = 10",
      "warning: has 30 tasks waiting, more than the new limit of 10",
    ],
    [
      "a lowered rate",
      "kiln-crews",
      "starts_per_second = 0",
      "starts_per_second = 5",
      "notice: starts at most 5 tasks a second from now on; 30 wait",
    ],
    [
      "a changed weight",
      "kiln-crews",
      "weight = 2",
      "weight = 1",
      "notice: share when all have work: 66.7 % to 50.0 %",
    ],
    [
      "a removed class",
      "heat-check",
      '"heat-check"',
      '"check"',
      "warning: is removed: new jobs are refused; 24 tasks run to completion",
    ],
    [
      "a class that becomes idempotent",
      "seal-confirmation",
      "idempotent = false",
      "idempotent = true",
      "warning: becomes idempotent",
    ],
    [
      "a held kind of action",
      "eject",
      "held = []",
      'held = ["eject"]',
      "notice: is held",
    ],
    [
      "a live entry declared gone",
      "entry-1-aa",
      "gone = []",
      'gone = ["entry-1-aa"]',
      "warning: is declared gone but is alive",
    ],
  ];
  for (const [name, subject, from, to, text] of cases) {
    it(`reports the effect of ${name}`, () => {
      expect(effectsOn(subject, [from, to])).to.include(text);
    });
  }
});
