import { readFileSync } from "node:fs";
import { expect } from "chai";
import { z } from "zod";
import { entrySchema } from "./entry.ts";
import { operatorSchema } from "./operator.ts";
import { sideSchema } from "./side.ts";

const CONFIGURATION_PAGE = readFileSync(
  new URL("../../../docs/CONFIGURATION.md", import.meta.url),
  "utf8",
);

const SCHEMAS = [
  ["Settings of an entry", entrySchema],
  ["Settings of a side", sideSchema],
  ["Settings of the command line", operatorSchema],
] as const;

/** Default values by key; an empty string for a key without a default. */
type Defaults = Readonly<Record<string, string>>;

function readDocumentedDefaults(heading: string): Defaults {
  const [section] = CONFIGURATION_PAGE.split(`\n## ${heading}\n`)[1]!.split(
    "\n## ",
  );
  const rows = section!.matchAll(/^\| `([a-z_.]+)` +\| *(.*?) *\|/gm);
  return Object.fromEntries(
    [...rows].map(([, key, value]) => [key!, value!.replaceAll("`", "")]),
  );
}

interface JsonSchema {
  readonly default?: unknown;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
}

function collectDefaults(schema: JsonSchema, prefix = ""): Defaults {
  const entries = Object.entries(schema.properties ?? {});
  return Object.assign(
    {},
    ...entries.map(([name, child]) =>
      child.properties === undefined
        ? { [prefix + name]: String(child.default ?? "") }
        : collectDefaults(child, `${prefix}${name}.`)
    ),
  );
}

describe("the documented settings", () => {
  for (const [heading, schema] of SCHEMAS) {
    it(`match the schema: ${heading}`, () => {
      const document = z.toJSONSchema(schema, {
        io: "input",
        unrepresentable: "any",
      });
      expect(readDocumentedDefaults(heading)).to.deep.equal(
        collectDefaults(document as JsonSchema),
      );
    });
  }
});
