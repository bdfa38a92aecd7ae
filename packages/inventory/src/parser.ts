/**
 * Reads configuration texts in a daemon without holding up its other work. A
 * long text is read in parts, and parts that the text before had too are not
 * read again. Preparing a text reads its parts ahead with pauses in between.
 */
import { setImmediate } from "node:timers/promises";
import { ok, type Result } from "neverthrow";
import { z } from "zod";
import type { InvalidFile } from "@coltsfootreach/errors";
import { parseToml } from "@coltsfootreach/settings";
import type {
  Configuration,
  ExpectedServer,
  ParsedConfiguration,
  Worker,
} from "@coltsfootreach/types";
import { findFault } from "./check.ts";
import { parseEstate } from "./parse.ts";
import { estateSchema, serverSchema, workerSchema } from "./schema.ts";
import { splitText } from "./split.ts";

export interface EstateParser {
  /** Same result as `parseEstate`; quick for what is prepared. */
  parse(configuration: Configuration): Result<ParsedConfiguration, InvalidFile>;
  prepare(configuration: Configuration): Promise<void>;
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
  /** Parts of the last text. */
  let known: ReadonlyMap<string, Part> = new Map();
  /** Parts read ahead. */
  let prepared: ReadonlyMap<string, Part> = new Map();

  function findPart(text: string): Part | undefined {
    return known.get(text) ?? prepared.get(text);
  }

  async function prepare({ text }: Configuration): Promise<void> {
    const ahead = new Map<string, Part>();
    for (const piece of splitText(text)) {
      if (findPart(piece) !== undefined) continue;
      await setImmediate();
      const part = readPart(piece);
      if (part === undefined) return;
      ahead.set(piece, part);
    }
    prepared = ahead;
  }

  function parse(
    configuration: Configuration,
  ): Result<ParsedConfiguration, InvalidFile> {
    const parts = new Map<string, Part>();
    const pieces = splitText(configuration.text);
    for (const piece of pieces) {
      const part = findPart(piece) ?? readPart(piece);
      if (part === undefined) return parseEstate(configuration);
      parts.set(piece, part);
    }
    known = parts;
    const ordered = pieces.map((piece) => parts.get(piece)!);
    const estate = assemble(configuration.version, ordered);
    // The whole text is read at once to say what is wrong with it.
    return estate === undefined ? parseEstate(configuration) : ok(estate);
  }

  return { parse, prepare };
}

/** Undefined when the part cannot be read by itself. */
function readPart(text: string): Part | undefined {
  const part = parseToml("part", text)
    .map((document) => partSchema.safeParse(document));
  return part.isOk() ? part.value.data : undefined;
}

/** Undefined when the parts make no valid document. */
function assemble(
  version: number,
  parts: readonly Part[],
): ParsedConfiguration | undefined {
  const rest = mergeTables(parts.map((part) => part.rest));
  if (rest === undefined) return undefined;
  const checked = estateSchema.safeParse(rest);
  if (!checked.success) return undefined;
  const estate: ParsedConfiguration = {
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
