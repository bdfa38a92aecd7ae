/** Checks a settings file of any role. */
import { readAnySettings } from "@coltsfootreach/settings";
import { type CommandResult, succeed } from "../../report.ts";

export function run(file: string): CommandResult {
  return readAnySettings(file).map(({ role }) =>
    succeed(`${file}: valid settings of role ${role}`, { valid: true, role })
  );
}
