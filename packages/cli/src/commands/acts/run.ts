/** Lists what the entries did by themselves. */
import type { AutomaticAction } from "@coltsfootreach/types";
import type { Context } from "../../context.ts";
import { askAll } from "../../management.ts";
import { type CommandResult, succeed } from "../../report.ts";
import { formatTable, formatTime } from "../../text.ts";

export async function run(context: Context): Promise<CommandResult> {
  const asked = await askAll<readonly AutomaticAction[]>(context, "/acts");
  return asked.map(({ bodies, failures }) => {
    const acts = bodies.flat().sort((a, b) => a.atMs - b.atMs);
    const table = formatTable([
      ["ID", "TIME", "KIND", "SUBJECT", "VERSION", "UNDONE", "WHY"],
      ...acts.map((act) => [
        act.id,
        formatTime(act.atMs),
        act.kind,
        act.subject,
        act.configurationVersion,
        act.undoneAtMs === undefined ? "-" : formatTime(act.undoneAtMs),
        act.why,
      ]),
    ]);
    const shown = acts.length === 0 ? "no automatic acts are on record" : table;
    const silent = failures.map((failure) => `no answer: ${failure}`);
    return succeed([shown, ...silent].join("\n"), { acts, failures });
  });
}
