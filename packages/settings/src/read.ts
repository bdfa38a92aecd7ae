/** Reads a settings file of any role. */
import { err, ok, type Result } from "neverthrow";
import { InvalidFile } from "@coltsfootreach/errors";
import { checkDocument, parseToml, readText } from "./document.ts";
import { entrySchema, type EntrySettings } from "./entry.ts";
import { operatorSchema, type OperatorSettings } from "./operator.ts";
import { sideSchema, type SideSettings } from "./side.ts";
import { checkTlsFiles } from "./tls_files.ts";

export type DaemonSettings = EntrySettings | SideSettings;

export type Settings = DaemonSettings | OperatorSettings;

/** Reads and checks the settings of an entry or a side. */
export function readSettings(
  file: string,
): Result<DaemonSettings, InvalidFile> {
  return readAnySettings(file).andThen((settings) =>
    settings.role === "operator"
      ? err(
        new InvalidFile(file, "role", 'a daemon is an "entry" or a "side"'),
      )
      : ok(settings)
  );
}

/** Reads and checks the settings of the command line. */
export function readOperatorSettings(
  file: string,
): Result<OperatorSettings, InvalidFile> {
  return readAnySettings(file).andThen((settings) =>
    settings.role === "operator"
      ? ok(settings)
      : err(new InvalidFile(file, "role", 'expected "operator"'))
  );
}

/**
 * Reads and checks settings of whichever role the file names, and the files
 * that they name.
 */
export function readAnySettings(file: string): Result<Settings, InvalidFile> {
  return readText(file)
    .andThen((text) => parseSettings(file, text))
    .andThen((settings) =>
      settings.role === "operator" || settings.tls === undefined
        ? ok(settings)
        : checkTlsFiles(file, settings.tls).map(() => settings)
    );
}

/** Checks settings text; `file` is only used to name the source in errors. */
export function parseSettings(
  file: string,
  text: string,
): Result<Settings, InvalidFile> {
  return parseToml(file, text)
    .andThen((document) => checkSettings(file, document));
}

function checkSettings(
  file: string,
  document: unknown,
): Result<Settings, InvalidFile> {
  switch (roleOf(document)) {
    case "entry":
      return checkDocument(file, document, entrySchema);
    case "side":
      return checkDocument(file, document, sideSchema);
    case "operator":
      return checkDocument(file, document, operatorSchema);
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

function roleOf(document: unknown): unknown {
  return (document as { readonly role?: unknown }).role;
}
