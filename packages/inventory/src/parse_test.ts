import { readFileSync } from "node:fs";
import { expect } from "chai";
import { readAnySettings } from "@coltsfootreach/settings";
import { editRules } from "./edit.ts";
import { excerptForSides, formatConfiguration } from "./format.ts";
import {
  parseConfiguration,
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
  return parseConfiguration({ version: 7, text }, "f.toml");
}

function validationErrorOf(text: string): string {
  return parse(text).match(() => "accepted", (error) => error.message);
}

describe("the inventory", () => {
  for (const [name, text] of Object.entries({ DELTA, URVAERK })) {
    it(`parses the example of ${name} and formats it again`, () => {
      const configuration = parse(text)._unsafeUnwrap();
      expect(configuration.version).to.equal(7);
      expect(configuration.dataCentres).to.have.lengthOf(3);
      expect(configuration.workers).to.have.lengthOf(10);
      expect(configuration.servers).to.have.lengthOf(10);
      expect(parse(formatConfiguration(configuration))._unsafeUnwrap()).to.deep
        .equal(configuration);
    });
  }

  const invalidCases: readonly [string, string, string][] = [
    ["an unknown key", `x = 1\n${DELTA}`, "f.toml: x: unknown key"],
    [
      "an unknown data centre",
      DELTA.replace('data_centre = "kiln-yard"', 'data_centre = "moon"'),
      'f.toml: workers[0].data_centre: unknown data centre "moon"',
    ],
    [
      "an unknown worker",
      DELTA.replace('worker = "worker-02"', 'worker = "worker-99"'),
      'f.toml: servers[1].worker: unknown worker "worker-99"',
    ],
    [
      "a duplicate name",
      DELTA.replace('"bindery-desks"', '"kiln-crews"'),
      'f.toml: tenants[1].name: "kiln-crews" is already used',
    ],
    [
      "a weight of zero",
      DELTA.replace("weight = 2", "weight = 0"),
      "f.toml: tenants[0].weight: ",
    ],
    [
      "a deadline of zero",
      DELTA.replace('deadline = "2s"', 'deadline = "0s"'),
      "f.toml: classes[0].deadline: must be greater than zero",
    ],
    [
      "a missing boolean",
      DELTA.replace("idempotent = true", ""),
      "f.toml: classes[0].idempotent: missing value",
    ],
    [
      "an unknown kind of automatic action",
      DELTA.replace("held = []", 'held = ["jump"]'),
      "f.toml: rules.held[0]: ",
    ],
    [
      "a ratio above one",
      DELTA.replace("eject_at_most = 0.3", "eject_at_most = 30"),
      "f.toml: rules.eject_at_most: ",
    ],
  ];
  for (const [description, text, message] of invalidCases) {
    it(`reports key and reason for ${description}`, () => {
      expect(validationErrorOf(text)).to.include(message);
    });
  }

  it("sets, reads and removes the base version", () => {
    const text = withBaseVersion({ version: 4, text: DELTA });
    expect(readBaseVersion(text)).to.equal(4);
    expect(readBaseVersion(DELTA)).to.equal(undefined);
    expect(withBaseVersion({ version: 5, text })).not.to.include("= 4\n");
    expect(removeBaseVersion(text)).to.equal(DELTA);
    expect(parse(text).isOk()).to.equal(true);
  });

  it("omits workers and backend servers from the excerpt for sides", () => {
    const configuration = parse(DELTA)._unsafeUnwrap();
    const excerpt = parse(excerptForSides(configuration))._unsafeUnwrap();
    expect(excerpt).to.deep.equal({
      ...configuration,
      workers: [],
      servers: [],
    });
  });

  it("imports the asset register and keeps known delays", () => {
    const configuration = parse(DELTA)._unsafeUnwrap();
    const imported = importRegister({
      file: "r.csv",
      csv: readExample("asset_register.csv"),
      known: configuration.dataCentres,
    })._unsafeUnwrap();
    expect(imported.workers).to.deep.equal(configuration.workers);
    expect(imported.servers).to.deep.equal(configuration.servers);
    expect(imported.dataCentres).to.deep.equal(configuration.dataCentres);
  });

  it("reports the line of an invalid row", () => {
    const csv = readExample("asset_register.csv").replace("16,64GB", "many,1");
    const error = importRegister({ file: "r.csv", csv, known: [] })
      ._unsafeUnwrapErr();
    expect(error.message).to.include("r.csv: line 2: cores: ");
  });

  it("edits rules in place and preserves comments", () => {
    const edit = { list: "held", name: "eject", listed: true } as const;
    const text = editRules({ version: 1, text: DELTA }, edit)._unsafeUnwrap();
    expect(text).to.equal(DELTA.replace("held = []", 'held = ["eject"]'));
    const revertedEdit = { ...edit, listed: false };
    expect(editRules({ version: 2, text }, revertedEdit)._unsafeUnwrap())
      .to.equal(DELTA);
  });

  it("edits rules that are missing or given as an inline table", () => {
    const short = DELTA.slice(0, DELTA.indexOf("[rules]"));
    const inline = `rules = { drained = ["a"] }\n${short}`;
    const edit = { list: "drained", name: "b", listed: true } as const;
    for (const text of [short, inline]) {
      const edited = editRules({ version: 1, text }, edit)._unsafeUnwrap();
      expect(parse(edited)._unsafeUnwrap().rules.drained).to.include("b");
    }
  });

  for (const name of ["entry", "side", "operator"]) {
    it(`has valid example settings for the ${name}`, () => {
      const file = new URL(`${name}.toml`, EXAMPLES).pathname;
      const role = readAnySettings(file).map((settings) => settings.role);
      expect(role._unsafeUnwrap()).to.equal(name);
    });
  }
});
