import { readFileSync } from "node:fs";
import { expect } from "chai";
import { z } from "zod";
import { entrySchema } from "./entry.ts";
import { operatorSchema } from "./operator.ts";
import { sideSchema } from "./side.ts";

const PAGE = readFileSync(
  new URL("../../../docs/CONFIGURATION.md", import.meta.url),
  "utf8",
);

const SCHEMAS = [
  ["Settings of an entry", entrySchema],
  ["Settings of a side", sideSchema],
  ["Settings of the command line", operatorSchema],
] as const;

/** Defaults by key; an empty text where there is none. */
type Defaults = Readonly<Record<string, string>>;

function readTable(heading: string): Defaults {
  const [section] = PAGE.split(`\n## ${heading}\n`)[1]!.split("\n## ");
  const rows = section!.matchAll(/^\| `([a-z_.]+)` +\| *(.*?) *\|/gm);
  return Object.fromEntries(
    [...rows].map(([, key, value]) => [key!, value!.replaceAll("`", "")]),
  );
}

interface Property {
  readonly default?: unknown;
  readonly properties?: Readonly<Record<string, Property>>;
}

function flatten(property: Property, prefix = ""): Defaults {
  const entries = Object.entries(property.properties ?? {});
  return Object.assign(
    {},
    ...entries.map(([name, child]) =>
      child.properties === undefined
        ? { [prefix + name]: String(child.default ?? "") }
        : flatten(child, `${prefix}${name}.`)
    ),
  );
}

describe("the page on settings", () => {
  for (const [heading, schema] of SCHEMAS) {
    it(`agrees with the schema: ${heading}`, () => {
      const document = z.toJSONSchema(schema, {
        io: "input",
        unrepresentable: "any",
      });
      expect(readTable(heading)).to.deep.equal(flatten(document as Property));
    });
  }
});
