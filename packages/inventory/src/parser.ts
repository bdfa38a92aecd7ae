/**
 * Incremental parser that keeps a daemon's event loop responsive. A long text
 * is parsed in parts, and parts unchanged since the previous text are reused.
 * Preparing a text parses its new parts in advance and yields to the event loop
 * before each of them.
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
import { findValidationError } from "./check.ts";
import { parseConfiguration } from "./parse.ts";
import { configurationSchema, serverSchema, workerSchema } from "./schema.ts";
import { splitConfigurationText } from "./split.ts";

export interface ConfigurationParser {
  /** Same result as parsing the whole text; fast for prepared texts. */
  parse(configuration: Configuration): Result<ParsedConfiguration, InvalidFile>;
  prepare(configuration: Configuration): Promise<void>;
}

/** A part of a document: validated machines, and the rest not yet validated. */
interface ParsedPart {
  readonly workers: readonly Worker[];
  readonly servers: readonly ExpectedServer[];
  readonly rest: Readonly<Record<string, unknown>>;
}

const partSchema = z.looseObject({
  workers: z.array(workerSchema).default([]),
  servers: z.array(serverSchema).default([]),
}).transform(({ workers, servers, ...rest }): ParsedPart => ({
  workers,
  servers,
  rest,
}));

export function createConfigurationParser(): ConfigurationParser {
  /** Parts of the text that was parsed last, by their text. */
  let lastParts: ReadonlyMap<string, ParsedPart> = new Map();
  /** Parts that were parsed in advance, by their text. */
  let preparedParts: ReadonlyMap<string, ParsedPart> = new Map();

  function findPart(text: string): ParsedPart | undefined {
    return lastParts.get(text) ?? preparedParts.get(text);
  }

  async function prepare({ text }: Configuration): Promise<void> {
    const newParts = new Map<string, ParsedPart>();
    for (const partText of splitConfigurationText(text)) {
      if (findPart(partText) !== undefined) continue;
      await setImmediate();
      const part = parsePart(partText);
      if (part === undefined) return;
      newParts.set(partText, part);
    }
    preparedParts = newParts;
  }

  function parse(
    configuration: Configuration,
  ): Result<ParsedConfiguration, InvalidFile> {
    const parts = new Map<string, ParsedPart>();
    const partTexts = splitConfigurationText(configuration.text);
    for (const partText of partTexts) {
      const part = findPart(partText) ?? parsePart(partText);
      if (part === undefined) return parseConfiguration(configuration);
      parts.set(partText, part);
    }
    lastParts = parts;
    const ordered = partTexts.map((partText) => parts.get(partText)!);
    const assembled = assembleConfiguration(configuration.version, ordered);
    // Parses the whole text at once to report its first error.
    return assembled === undefined
      ? parseConfiguration(configuration)
      : ok(assembled);
  }

  return { parse, prepare };
}

/** Undefined when the part is invalid on its own. */
function parsePart(text: string): ParsedPart | undefined {
  const part = parseToml("part", text)
    .map((document) => partSchema.safeParse(document));
  return part.isOk() ? part.value.data : undefined;
}

/** Undefined when the parts do not form a valid document. */
function assembleConfiguration(
  version: number,
  parts: readonly ParsedPart[],
): ParsedConfiguration | undefined {
  const rest = mergeTables(parts.map((part) => part.rest));
  if (rest === undefined) return undefined;
  const checked = configurationSchema.safeParse(rest);
  if (!checked.success) return undefined;
  const configuration: ParsedConfiguration = {
    ...checked.data,
    version,
    workers: parts.flatMap((part) => part.workers),
    servers: parts.flatMap((part) => part.servers),
  };
  return findValidationError("part", configuration) === undefined
    ? configuration
    : undefined;
}

/** Concatenates arrays of tables; any other key may occur in one part only. */
function mergeTables(
  tables: readonly Readonly<Record<string, unknown>>[],
): Readonly<Record<string, unknown>> | undefined {
  const merged: Record<string, unknown> = {};
  for (const [key, value] of tables.flatMap(Object.entries)) {
    const existing = merged[key];
    if (existing === undefined) merged[key] = value;
    else if (Array.isArray(existing) && Array.isArray(value)) {
      merged[key] = [...existing, ...value];
    } else return undefined;
  }
  return merged;
}
