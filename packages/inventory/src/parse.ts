/** Parses configuration documents: syntax, schema, then cross-references. */
import { err, ok, type Result } from "neverthrow";
import type { InvalidFile } from "@coltsfootreach/errors";
import { parseToml, validateDocument } from "@coltsfootreach/settings";
import type { Configuration, ParsedConfiguration } from "@coltsfootreach/types";
import { findValidationError } from "./check.ts";
import { configurationSchema } from "./schema.ts";

/**
 * Parses one configuration version. `file` names the source in errors and
 * defaults to the version.
 */
export function parseConfiguration(
  configuration: Configuration,
  file: string = `configuration ${configuration.version}`,
): Result<ParsedConfiguration, InvalidFile> {
  return parseToml(file, configuration.text)
    .andThen((document) =>
      validateDocument(file, document, configurationSchema)
    )
    .andThen((content) => {
      const error = findValidationError(file, content);
      return error === undefined ? ok(content) : err(error);
    })
    .map((content) => ({ version: configuration.version, ...content }));
}

const BASE_VERSION_PATTERN = /^base_version\s*=\s*(\d+)[^\n]*\n?/m;

/** Returns the base version stated in a text, if any. */
export function readBaseVersion(text: string): number | undefined {
  const match = BASE_VERSION_PATTERN.exec(text);
  return match === null ? undefined : Number(match[1]);
}

/** Returns the text without the line that states its base version. */
export function removeBaseVersion(text: string): string {
  return text.replace(BASE_VERSION_PATTERN, "");
}

/** Returns the text with its version as base version in the first line. */
export function withBaseVersion({ version, text }: Configuration): string {
  return `base_version = ${version}\n${removeBaseVersion(text)}`;
}
