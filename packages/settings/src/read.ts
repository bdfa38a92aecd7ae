/** Reads and validates settings files of all roles. */
import { err, ok, type Result } from "neverthrow";
import { InvalidFile } from "@coltsfootreach/errors";
import { parseToml, readTextFile, validateDocument } from "./document.ts";
import { entrySchema, type EntrySettings } from "./entry.ts";
import { operatorSchema, type OperatorSettings } from "./operator.ts";
import { sideSchema, type SideSettings } from "./side.ts";
import { validateTlsFiles } from "./tls_files.ts";

export type DaemonSettings = EntrySettings | SideSettings;

export type Settings = DaemonSettings | OperatorSettings;

/** Reads and validates the settings of an entry or a side. */
export function readSettings(
  file: string,
): Result<DaemonSettings, InvalidFile> {
  return readAnySettings(file).andThen((settings) =>
    settings.role === "operator"
      ? err(
        new InvalidFile(file, "role", 'must be "entry" or "side" for a daemon'),
      )
      : ok(settings)
  );
}

/** Reads and validates the settings of the command line. */
export function readOperatorSettings(
  file: string,
): Result<OperatorSettings, InvalidFile> {
  return readAnySettings(file).andThen((settings) =>
    settings.role === "operator" ? ok(settings) : err(
      new InvalidFile(
        file,
        "role",
        'must be "operator" for the command line',
      ),
    )
  );
}

/**
 * Reads and validates settings of any role, including the TLS files that they
 * refer to.
 */
export function readAnySettings(file: string): Result<Settings, InvalidFile> {
  return readTextFile(file)
    .andThen((text) => parseSettings(file, text))
    .andThen((settings) =>
      settings.role === "operator" || settings.tls === undefined
        ? ok(settings)
        : validateTlsFiles(file, settings.tls).map(() => settings)
    );
}

/** Parses and validates settings; `file` only names the source in errors. */
export function parseSettings(
  file: string,
  text: string,
): Result<Settings, InvalidFile> {
  return parseToml(file, text)
    .andThen((document) => validateSettings(file, document));
}

function validateSettings(
  file: string,
  document: unknown,
): Result<Settings, InvalidFile> {
  switch (getRole(document)) {
    case "entry":
      return validateDocument(file, document, entrySchema);
    case "side":
      return validateDocument(file, document, sideSchema);
    case "operator":
      return validateDocument(file, document, operatorSchema);
    case undefined:
      return err(new InvalidFile(file, "role", "missing value"));
    default:
      return err(
        new InvalidFile(
          file,
          "role",
          'must be "entry", "side" or "operator"',
        ),
      );
  }
}

function getRole(document: unknown): unknown {
  return (document as { readonly role?: unknown }).role;
}
