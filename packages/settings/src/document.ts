/**
 * Parses a TOML document and validates it against a schema. Only the first
 * error is reported, with its file, key and reason.
 */
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { parse, TomlError } from "smol-toml";
import type { z } from "zod";
import { InvalidFile } from "@coltsfootreach/errors";

/** The key reported for an error that concerns the document as a whole. */
export const DOCUMENT_ROOT_KEY = "(document)";

/** Reads a text file. An I/O error is returned as an invalid file. */
export function readTextFile(file: string): Result<string, InvalidFile> {
  try {
    return ok(readFileSync(file, "utf8"));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err(new InvalidFile(file, DOCUMENT_ROOT_KEY, reason));
  }
}

/** Parses TOML text; `file` only names the source in errors. */
export function parseToml(
  file: string,
  text: string,
): Result<unknown, InvalidFile> {
  try {
    return ok(parse(text, { unsafeKeyBehaviour: "throw" }));
  } catch (error) {
    return err(
      new InvalidFile(file, DOCUMENT_ROOT_KEY, describeSyntaxError(error)),
    );
  }
}

/** Validates a parsed document against a schema; returns the first error. */
export function validateDocument<S extends z.ZodType>(
  file: string,
  document: unknown,
  schema: S,
): Result<z.output<S>, InvalidFile> {
  const result = schema.safeParse(document, { reportInput: true });
  if (result.success) return ok(result.data);
  return err(toInvalidFile(file, result.error.issues[0]!));
}

function describeSyntaxError(error: unknown): string {
  if (!(error instanceof TomlError)) return String(error);
  const reason = error.message.split("\n")[0];
  return `line ${error.line}, column ${error.column}: ${reason}`;
}

function toInvalidFile(file: string, issue: z.core.$ZodIssue): InvalidFile {
  if (issue.code === "unrecognized_keys") {
    const key = formatPath([...issue.path, issue.keys[0]!]);
    return new InvalidFile(file, key, "unknown key");
  }
  const reason = issue.code === "invalid_type" && issue.input === undefined
    ? `missing value; expected ${issue.expected}`
    : issue.message;
  return new InvalidFile(file, formatPath(issue.path), reason);
}

function formatPath(path: readonly PropertyKey[]): string {
  if (path.length === 0) return DOCUMENT_ROOT_KEY;
  return path.map((segment, index) => {
    if (typeof segment === "number") return `[${segment}]`;
    return index === 0 ? String(segment) : `.${String(segment)}`;
  }).join("");
}
