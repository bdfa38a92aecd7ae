/**
 * Reads configuration texts in a daemon without holding up its other work. A
 * long text is read in parts with a pause after each, and parts that the text
 * before had too are not read again.
 */
import { setImmediate } from "node:timers/promises";
import { ok, type Result } from "neverthrow";
import { z } from "zod";
import type { InvalidFile } from "@coltsfootreach/errors";
import { parseToml } from "@coltsfootreach/settings";
import type {
  Configuration,
  Estate,
  ExpectedServer,
  Worker,
} from "@coltsfootreach/types";
import { findFault } from "./check.ts";
import { parseEstate } from "./parse.ts";
import { estateSchema, serverSchema, workerSchema } from "./schema.ts";
import { splitText } from "./split.ts";

export interface EstateParser {
  /** Same result as `parseEstate`. */
  parse(configuration: Configuration): Promise<Result<Estate, InvalidFile>>;
}

/** One part of a document: its machines checked, all else as it was read. */
interface Part {
  readonly workers: readonly Worker[];
  readonly servers: readonly ExpectedServer[];
  readonly rest: Readonly<Record<string, unknown>>;
}

const partSchema = z.looseObject({
  workers: z.array(workerSchema).default([]),
  servers: z.array(serverSchema).default([]),
}).transform(({ workers, servers, ...rest }): Part => ({
  workers,
  servers,
  rest,
}));

export function createEstateParser(): EstateParser {
  let known: ReadonlyMap<string, Part> = new Map();

  async function parse(
    configuration: Configuration,
  ): Promise<Result<Estate, InvalidFile>> {
    const parts: Part[] = [];
    const read = new Map<string, Part>();
    for (const text of splitText(configuration.text)) {
      const part = known.get(text) ?? await readPart(text);
      if (part === undefined) return parseEstate(configuration);
      parts.push(part);
      read.set(text, part);
    }
    known = read;
    await setImmediate();
    const estate = assemble(configuration.version, parts);
    // The whole text is read at once to say what is wrong with it.
    return estate === undefined ? parseEstate(configuration) : ok(estate);
  }

  return { parse };
}

/** Undefined when the part cannot be read by itself. */
async function readPart(text: string): Promise<Part | undefined> {
  await setImmediate();
  const part = parseToml("part", text)
    .map((document) => partSchema.safeParse(document));
  return part.isOk() ? part.value.data : undefined;
}

/** Undefined when the parts make no valid document. */
function assemble(
  version: number,
  parts: readonly Part[],
): Estate | undefined {
  const rest = mergeTables(parts.map((part) => part.rest));
  if (rest === undefined) return undefined;
  const checked = estateSchema.safeParse(rest);
  if (!checked.success) return undefined;
  const estate: Estate = {
    ...checked.data,
    version,
    workers: parts.flatMap((part) => part.workers),
    servers: parts.flatMap((part) => part.servers),
  };
  return findFault("part", estate) === undefined ? estate : undefined;
}

/** Arrays of tables go on from part to part; all else stands in one part. */
function mergeTables(
  tables: readonly Readonly<Record<string, unknown>>[],
): Readonly<Record<string, unknown>> | undefined {
  const merged: Record<string, unknown> = {};
  for (const [key, value] of tables.flatMap(Object.entries)) {
    const before = merged[key];
    if (before === undefined) merged[key] = value;
    else if (Array.isArray(before) && Array.isArray(value)) {
      merged[key] = [...before, ...value];
    } else return undefined;
  }
  return merged;
}
