/** Checks a configuration file without asking anyone. */
import { parseConfiguration } from "@coltsfootreach/inventory";
import { readTextFile } from "@coltsfootreach/settings";
import { type CommandResult, succeed } from "../../report.ts";

export function run(file: string): CommandResult {
  return readTextFile(file)
    .andThen((text) => parseConfiguration({ version: 0, text }, file))
    .map(({ dataCentres, workers, servers, tenants, classes }) => {
      const counts = {
        dataCentres: dataCentres.length,
        workers: workers.length,
        servers: servers.length,
        tenants: tenants.length,
        classes: classes.length,
      };
      const text = `${file}: valid: ${counts.dataCentres} data centres, ` +
        `${counts.workers} workers, ${counts.servers} backend servers, ` +
        `${counts.tenants} tenants, ${counts.classes} classes`;
      return succeed(text, { valid: true, ...counts });
    });
}
