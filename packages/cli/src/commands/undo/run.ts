/** Undoes an automatic act by an edit of the rules, so that it stays undone. */
import { err } from "neverthrow";
import type { ActionKind, AutomaticAction } from "@coltsfootreach/types";
import type { Context } from "../../context.ts";
import { askAny } from "../../management.ts";
import { CommandFailed, type CommandResult } from "../../report.ts";
import { run as editRules } from "../edit_rules/run.ts";

/** Why acts of a kind are not undone, and what to do. */
const ADVICE: Readonly<Record<Exclude<ActionKind, "eject">, string>> = {
  readmit: "drain the backend server instead",
  takeOver: "a take-over stands; hold takeOver to stop further ones",
  shed: "refused jobs stay refused; hold shed to stop further refusals",
  moveQuota: "quotas follow the load; hold moveQuota to keep them",
  drain: "undrain the backend server instead",
};

export async function run(
  context: Context,
  id: string,
): Promise<CommandResult> {
  const found = await askAny<AutomaticAction>(
    context,
    `/acts/${encodeURIComponent(id)}`,
  );
  if (found.isErr()) return err(found.error);
  const act = found.value;
  if (act.kind !== "eject") {
    const reason = `${act.kind} cannot be undone: ${ADVICE[act.kind]}`;
    return err(new CommandFailed(reason));
  }
  return await editRules(context, {
    list: "neverEjected",
    name: act.subject,
    listed: true,
    note: `undo ${id}`,
  });
}
