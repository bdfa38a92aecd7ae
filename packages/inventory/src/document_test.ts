import { readFileSync } from "node:fs";
import { expect } from "chai";
import { z } from "zod";
import {
  entrySchema,
  operatorSchema,
  sideSchema,
} from "@coltsfootreach/settings";
import { estateSchema } from "./schema.ts";

const PAGE = readFileSync(
  new URL("../../../docs/CONFIGURATION.md", import.meta.url),
  "utf8",
);

/** The parts of a JSON schema that matter here. */
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
  return Object.entries(schema.properties ?? {}).flatMap(([name, inner]) => {
    const key = path === "" ? name : `${path}.${name}`;
    const section = inner.properties === undefined ? inner.items : inner;
    if (section?.properties !== undefined) return collectKeys(section, key);
    return [{ key, fallback: formatDefault(inner.default) }];
  });
}

/** An empty list of sections or origins is as good as none. */
function formatDefault(value: unknown): string {
  if (value === undefined) return "";
  return typeof value === "string"
    ? `\`${value}\``
    : `\`${JSON.stringify(value)}\``;
}

/** Key and default of each row of the table below a heading. */
function rowsBelow(heading: string): DocumentedKey[] {
  const start = PAGE.indexOf(`## ${heading}\n`);
  const end = PAGE.indexOf("\n## ", start + 1);
  const rows = PAGE.slice(start, end)
    .matchAll(/^\| `([a-z_.]+)`\s*\|\s*(\S*)\s*\|/gm);
  return [...rows].map(([, key, fallback]) => ({
    key: key!,
    fallback: fallback!,
  }));
}

const DOCUMENTS: readonly [string, z.ZodType][] = [
  ["Settings of an entry", entrySchema],
  ["Settings of a side", sideSchema],
  ["Settings of the command line", operatorSchema],
  ["The configuration document", estateSchema],
];

describe("docs/CONFIGURATION.md", () => {
  for (const [heading, schema] of DOCUMENTS) {
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
      expect(rowsBelow(heading)).to.have.deep.members(keys);
    });
  }
});
