import { readFileSync } from "node:fs";
import { expect } from "chai";
import { z } from "zod";
import {
  entrySchema,
  operatorSchema,
  sideSchema,
} from "@coltsfootreach/settings";
import { configurationSchema } from "./schema.ts";

const CONFIGURATION_PAGE = readFileSync(
  new URL("../../../docs/CONFIGURATION.md", import.meta.url),
  "utf8",
);

/** The JSON schema properties used in this test. */
interface JsonSchema {
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly items?: JsonSchema;
  readonly type?: string;
  readonly default?: unknown;
}

interface DocumentedKey {
  readonly key: string;
  readonly fallback: string;
}

function collectKeys(schema: JsonSchema, path = ""): DocumentedKey[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, child]) => {
    const key = path === "" ? name : `${path}.${name}`;
    const section = child.properties === undefined ? child.items : child;
    if (section?.properties !== undefined) return collectKeys(section, key);
    return [{ key, fallback: formatDefault(child.default) }];
  });
}

/**
 * Formats a default as the page shows it; empty when there is none. An empty
 * list of sections or origins counts as no default.
 */
function formatDefault(value: unknown): string {
  if (value === undefined) return "";
  return typeof value === "string"
    ? `\`${value}\``
    : `\`${JSON.stringify(value)}\``;
}

/** Reads key and default from each row of the table below a heading. */
function readDocumentedKeys(heading: string): DocumentedKey[] {
  const start = CONFIGURATION_PAGE.indexOf(`## ${heading}\n`);
  const end = CONFIGURATION_PAGE.indexOf("\n## ", start + 1);
  const rows = CONFIGURATION_PAGE.slice(start, end)
    .matchAll(/^\| `([a-z_.]+)`\s*\|\s*(\S*)\s*\|/gm);
  return [...rows].map(([, key, fallback]) => ({
    key: key!,
    fallback: fallback!,
  }));
}

const SCHEMAS: readonly [string, z.ZodType][] = [
  ["Settings of an entry", entrySchema],
  ["Settings of a side", sideSchema],
  ["Settings of the command line", operatorSchema],
  ["The configuration document", configurationSchema],
];

describe("docs/CONFIGURATION.md", () => {
  for (const [heading, schema] of SCHEMAS) {
    it(`lists every key and default under "${heading}"`, () => {
      const json = z.toJSONSchema(schema, {
        io: "input",
        unrepresentable: "any",
      });
      const keys = collectKeys(json as JsonSchema)
        .map(({ key, fallback }) => ({
          key,
          fallback: key === "entries" ? "" : fallback,
        }));
      expect(readDocumentedKeys(heading)).to.have.deep.members(keys);
    });
  }
});
