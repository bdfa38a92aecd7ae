/** Reads a configuration document: syntax, schema, then checks across it. */
import { err, ok, type Result } from "neverthrow";
import type { InvalidFile } from "@coltsfootreach/errors";
import { checkDocument, parseToml } from "@coltsfootreach/settings";
import type { Configuration, ParsedConfiguration } from "@coltsfootreach/types";
import { findFault } from "./check.ts";
import { estateSchema } from "./schema.ts";

/**
 * Parses one configuration version. `file` names the source in errors; without
 * it the version does.
 */
export function parseEstate(
  configuration: Configuration,
  file: string = `configuration ${configuration.version}`,
): Result<ParsedConfiguration, InvalidFile> {
  return parseToml(file, configuration.text)
    .andThen((document) => checkDocument(file, document, estateSchema))
    .andThen((content) => {
      const fault = findFault(file, content);
      return fault === undefined ? ok(content) : err(fault);
    })
    .map((content) => ({ version: configuration.version, ...content }));
}

const BASE_VERSION_LINE = /^base_version\s*=\s*(\d+)[^\n]*\n?/m;

/** The version that a text says it was edited from. */
export function readBaseVersion(text: string): number | undefined {
  const match = BASE_VERSION_LINE.exec(text);
  return match === null ? undefined : Number(match[1]);
}

/** The text without the line that says what it was edited from. */
export function removeBaseVersion(text: string): string {
  return text.replace(BASE_VERSION_LINE, "");
}

/** The text with a first line that says what it will be edited from. */
export function withBaseVersion({ version, text }: Configuration): string {
  return `base_version = ${version}\n${removeBaseVersion(text)}`;
}
