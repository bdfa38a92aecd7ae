/** Makes a configuration document of an asset register's export. */
import { err } from "neverthrow";
import {
  formatConfiguration,
  importRegister,
  parseConfiguration,
  readBaseVersion,
  withBaseVersion,
} from "@coltsfootreach/inventory";
import { readTextFile } from "@coltsfootreach/settings";
import { type CommandResult, succeed } from "../../report.ts";

export interface ImportArguments {
  readonly register: string;
  /** A configuration file that gives tenants, classes, rules and delays. */
  readonly into: string;
}

export function run({ register, into }: ImportArguments): CommandResult {
  const base = readTextFile(into);
  if (base.isErr()) return err(base.error);
  const csv = readTextFile(register);
  if (csv.isErr()) return err(csv.error);
  return parseConfiguration({ version: 0, text: base.value }, into)
    .andThen((estate) =>
      importRegister({
        file: register,
        csv: csv.value,
        known: estate.dataCentres,
      }).map((machines) => formatConfiguration({ ...estate, ...machines }))
    )
    .andThen((text) =>
      parseConfiguration({ version: 0, text }, register).map((estate) => {
        const version = readBaseVersion(base.value);
        const shown = version === undefined
          ? text
          : withBaseVersion({ version, text });
        return succeed(shown.trimEnd(), { text: shown, estate });
      })
    );
}
