/**
 * Reads a TOML document and checks it against a schema. The first fault is
 * reported by file, key and reason.
 */
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { parse, TomlError } from "smol-toml";
import type { z } from "zod";
import { InvalidFile } from "@coltsfootreach/errors";

/** The key that a fault of the document as a whole is reported under. */
export const WHOLE_DOCUMENT = "(document)";

/** Reads a text file; an unreadable one is reported as a fault of the file. */
export function readText(file: string): Result<string, InvalidFile> {
  try {
    return ok(readFileSync(file, "utf8"));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err(new InvalidFile(file, WHOLE_DOCUMENT, reason));
  }
}

/** Parses TOML text; `file` is only used to name the source in errors. */
export function parseToml(
  file: string,
  text: string,
): Result<unknown, InvalidFile> {
  try {
    return ok(parse(text, { unsafeKeyBehaviour: "throw" }));
  } catch (error) {
    return err(new InvalidFile(file, WHOLE_DOCUMENT, describeSyntax(error)));
  }
}

/** Checks a parsed document against a schema and reports the first fault. */
export function checkDocument<S extends z.ZodType>(
  file: string,
  document: unknown,
  schema: S,
): Result<z.output<S>, InvalidFile> {
  const checked = schema.safeParse(document, { reportInput: true });
  if (checked.success) return ok(checked.data);
  return err(describeIssue(file, checked.error.issues[0]!));
}

function describeSyntax(error: unknown): string {
  if (!(error instanceof TomlError)) return String(error);
  const reason = error.message.split("\n")[0];
  return `line ${error.line}, column ${error.column}: ${reason}`;
}

function describeIssue(file: string, issue: z.core.$ZodIssue): InvalidFile {
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
  if (path.length === 0) return WHOLE_DOCUMENT;
  return path.map((step, position) => {
    if (typeof step === "number") return `[${step}]`;
    return position === 0 ? String(step) : `.${String(step)}`;
  }).join("");
}
