/**
 * Talks to the callers' interface. A job's key makes a repeated submission the
 * same submission, so another entry may be tried when one gives no answer.
 */
import { err, ok, type Result } from "neverthrow";
import type { InvalidFile } from "@coltsfootreach/errors";
import type { Answer, Refusal } from "@coltsfootreach/types";
import type { Context } from "./context.ts";
import { type HttpAnswer, type HttpRequest, send } from "./http.ts";
import { CommandFailed, fail, type Report, succeed } from "./report.ts";
import { formatNumber, formatTable } from "./text.ts";

const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;

export interface JobName {
  readonly tenant: string;
  readonly key: string;
}

export interface EntryChoice {
  /** Used instead of the entries of the settings. */
  readonly entry?: string | undefined;
}

export function jobPath({ tenant, key }: JobName): string {
  return `${jobsPath(tenant)}/${encodeURIComponent(key)}`;
}

export function jobsPath(tenant: string): string {
  return `/v1/tenants/${encodeURIComponent(tenant)}/jobs`;
}

/** Sends to the first entry that answers. */
export async function sendToEntry(
  context: Context,
  { entry }: EntryChoice,
  message: Omit<HttpRequest, "origin">,
): Promise<Result<HttpAnswer, CommandFailed | InvalidFile>> {
  const origins = findEntries(context, entry);
  if (origins.isErr()) return err(origins.error);
  const failures: string[] = [];
  for (const origin of origins.value) {
    const answer = await send({ ...message, origin });
    if (answer.isOk()) return answer;
    failures.push(answer.error.message);
  }
  return err(new CommandFailed(failures.join("; ")));
}

function findEntries(
  context: Context,
  entry: string | undefined,
): Result<readonly string[], CommandFailed | InvalidFile> {
  if (entry !== undefined) return ok([entry]);
  return context.settings().andThen(({ entries }) =>
    entries.length > 0
      ? ok(entries)
      : err(new CommandFailed("the settings name no entries; give --entry"))
  );
}

/** Reports an answer, a pending job or a refusal. */
export function reportAnswer(answer: HttpAnswer): Report {
  if (answer.status === HTTP_OK) return reportJob(answer.body as Answer);
  if (answer.status === HTTP_ACCEPTED) {
    const { done, of } = answer.body as {
      readonly done: number;
      readonly of: number;
    };
    return succeed(`pending: ${done} of ${of} tasks have ended`, answer.body);
  }
  return reportRefusal(answer);
}

function reportJob(answer: Answer): Report {
  const late = answer.late ? ", late" : "";
  const text = [
    `job ${answer.key}: ${answer.state}${late}, verdict ${answer.verdict}, ` +
    `${answer.outcomes.length} tasks`,
    formatTable([
      ["TASK", "STATE", "VERDICT", "SERVER", "RUN MS", "ANSWER"],
      ...answer.outcomes.map((outcome) => [
        outcome.index,
        outcome.state,
        outcome.verdict,
        outcome.server,
        outcome.runMs === undefined ? undefined : formatNumber(outcome.runMs),
        outcome.body ?? outcome.reason,
      ]),
    ]),
  ].join("\n");
  return answer.state === "complete"
    ? succeed(text, answer)
    : fail(text, answer);
}

function reportRefusal({ origin, status, body }: HttpAnswer): Report {
  const refusal = (body ?? {}) as Partial<Refusal>;
  const retry = refusal.retryAfterMs === undefined
    ? ""
    : `; try again in ${refusal.retryAfterMs} ms`;
  const text = refusal.code === undefined
    ? `failed: ${origin} answered HTTP ${status}`
    : `refused: ${refusal.code}: ${refusal.reason} (${refusal.verdict})${retry}`;
  return fail(text, body ?? { status });
}
