import { readFileSync } from "node:fs";
import { expect } from "chai";
import { readAnySettings } from "@coltsfootreach/settings";
import { editRules } from "./edit.ts";
import { excerptForSides, formatEstate } from "./format.ts";
import {
  parseEstate,
  readBaseVersion,
  removeBaseVersion,
  withBaseVersion,
} from "./parse.ts";
import { importRegister } from "./register.ts";

const EXAMPLES = new URL("../../../examples/", import.meta.url);
const DELTA = readExample("delta.toml");
const URVAERK = readExample("urvaerk.toml");

function readExample(name: string): string {
  return readFileSync(new URL(name, EXAMPLES), "utf8");
}

function parse(text: string) {
  return parseEstate({ version: 7, text }, "f.toml");
}

function faultOf(text: string): string {
  return parse(text).match(() => "accepted", (fault) => fault.message);
}

describe("the inventory", () => {
  for (const [name, text] of Object.entries({ DELTA, URVAERK })) {
    it(`reads the example of ${name} and writes it back`, () => {
      const estate = parse(text)._unsafeUnwrap();
      expect(estate.version).to.equal(7);
      expect(estate.dataCentres).to.have.lengthOf(3);
      expect(estate.workers).to.have.lengthOf(10);
      expect(estate.servers).to.have.lengthOf(10);
      expect(parse(formatEstate(estate))._unsafeUnwrap()).to.deep.equal(estate);
    });
  }

  const faults: readonly [string, string, string][] = [
    ["an unknown key", `x = 1\n${DELTA}`, "f.toml: x: unknown key"],
    [
      "an unknown data centre",
      DELTA.replace('data_centre = "kiln-yard"', 'data_centre = "moon"'),
      'f.toml: workers[0].data_centre: no data centre is named "moon"',
    ],
    [
      "an unknown worker",
      DELTA.replace('worker = "worker-02"', 'worker = "worker-99"'),
      'f.toml: servers[1].worker: no worker is named "worker-99"',
    ],
    [
      "a name used twice",
      DELTA.replace('"bindery-desks"', '"kiln-crews"'),
      'f.toml: tenants[1].name: "kiln-crews" is used twice',
    ],
    [
      "a weight of zero",
      DELTA.replace("weight = 2", "weight = 0"),
      "f.toml: tenants[0].weight: ",
    ],
    [
      "a deadline of zero",
      DELTA.replace('deadline = "2s"', 'deadline = "0s"'),
      "f.toml: classes[0].deadline: must be longer than zero",
    ],
    [
      "a missing flag",
      DELTA.replace("idempotent = true", ""),
      "f.toml: classes[0].idempotent: missing value",
    ],
    [
      "an unknown kind of act",
      DELTA.replace("held = []", 'held = ["jump"]'),
      "f.toml: rules.held[0]: ",
    ],
    [
      "a ratio above one",
      DELTA.replace("eject_at_most = 0.3", "eject_at_most = 30"),
      "f.toml: rules.eject_at_most: ",
    ],
  ];
  for (const [what, text, message] of faults) {
    it(`names key and reason for ${what}`, () => {
      expect(faultOf(text)).to.include(message);
    });
  }

  it("keeps track of the version that a text was edited from", () => {
    const text = withBaseVersion({ version: 4, text: DELTA });
    expect(readBaseVersion(text)).to.equal(4);
    expect(readBaseVersion(DELTA)).to.equal(undefined);
    expect(withBaseVersion({ version: 5, text })).not.to.include("= 4\n");
    expect(removeBaseVersion(text)).to.equal(DELTA);
    expect(parse(text).isOk()).to.equal(true);
  });

  it("leaves the machines out of what sides get", () => {
    const estate = parse(DELTA)._unsafeUnwrap();
    const excerpt = parse(excerptForSides(estate))._unsafeUnwrap();
    expect(excerpt).to.deep.equal({ ...estate, workers: [], servers: [] });
  });

  it("imports the register and keeps known delays", () => {
    const estate = parse(DELTA)._unsafeUnwrap();
    const machines = importRegister({
      file: "r.csv",
      csv: readExample("asset_register.csv"),
      known: estate.dataCentres,
    })._unsafeUnwrap();
    expect(machines.workers).to.deep.equal(estate.workers);
    expect(machines.servers).to.deep.equal(estate.servers);
    expect(machines.dataCentres).to.deep.equal(estate.dataCentres);
  });

  it("names the line of a bad row", () => {
    const csv = readExample("asset_register.csv").replace("16,64GB", "many,1");
    const fault = importRegister({ file: "r.csv", csv, known: [] })
      ._unsafeUnwrapErr();
    expect(fault.message).to.include("r.csv: line 2: cores: ");
  });

  it("edits rules in place and keeps comments", () => {
    const edit = { list: "held", name: "eject", listed: true } as const;
    const text = editRules({ version: 1, text: DELTA }, edit)._unsafeUnwrap();
    expect(text).to.equal(DELTA.replace("held = []", 'held = ["eject"]'));
    const back = { ...edit, listed: false };
    expect(editRules({ version: 2, text }, back)._unsafeUnwrap())
      .to.equal(DELTA);
  });

  it("edits rules that are written in another way", () => {
    const short = DELTA.slice(0, DELTA.indexOf("[rules]"));
    const inline = `rules = { drained = ["a"] }\n${short}`;
    const edit = { list: "drained", name: "b", listed: true } as const;
    for (const text of [short, inline]) {
      const edited = editRules({ version: 1, text }, edit)._unsafeUnwrap();
      expect(parse(edited)._unsafeUnwrap().rules.drained).to.include("b");
    }
  });

  for (const name of ["entry", "side", "operator"]) {
    it(`comes with valid example settings for the ${name}`, () => {
      const file = new URL(`${name}.toml`, EXAMPLES).pathname;
      const role = readAnySettings(file).map((settings) => settings.role);
      expect(role._unsafeUnwrap()).to.equal(name);
    });
  }
});
