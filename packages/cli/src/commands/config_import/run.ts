/** Makes a configuration document of an asset register's export. */
import { err } from "neverthrow";
import {
  formatEstate,
  importRegister,
  parseEstate,
  readBaseVersion,
  withBaseVersion,
} from "@coltsfootreach/inventory";
import { readText } from "@coltsfootreach/settings";
import { type CommandResult, succeed } from "../../report.ts";

export interface ImportArguments {
  readonly register: string;
  /** A configuration file that gives tenants, classes, rules and delays. */
  readonly into: string;
}

export function run({ register, into }: ImportArguments): CommandResult {
  const base = readText(into);
  if (base.isErr()) return err(base.error);
  const csv = readText(register);
  if (csv.isErr()) return err(csv.error);
  return parseEstate({ version: 0, text: base.value }, into)
    .andThen((estate) =>
      importRegister({
        file: register,
        csv: csv.value,
        known: estate.dataCentres,
      }).map((machines) => formatEstate({ ...estate, ...machines }))
    )
    .andThen((text) =>
      parseEstate({ version: 0, text }, register).map((estate) => {
        const version = readBaseVersion(base.value);
        const shown = version === undefined
          ? text
          : withBaseVersion({ version, text });
        return succeed(shown.trimEnd(), { text: shown, estate });
      })
    );
}
