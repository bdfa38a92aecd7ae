/** Submits the job in a JSON file and prints its answer. */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { InvalidFile } from "@coltsfootreach/errors";
import {
  DOCUMENT_ROOT_KEY,
  readTextFile,
  validateDocument,
} from "@coltsfootreach/settings";
import {
  type EntryChoice,
  jobsPath,
  reportAnswer,
  sendToEntry,
} from "../../caller.ts";
import type { Context } from "../../context.ts";
import type { CommandResult } from "../../report.ts";

export interface SubmitArguments extends EntryChoice {
  readonly file: string;
  /** Overrides the file's key; without either a new one is made. */
  readonly key?: string | undefined;
  readonly tenant?: string | undefined;
  /** False to come back at once and read the answer later. */
  readonly wait: boolean;
}

const ANSWER_TIMEOUT_MS = 600_000;

const fileSchema = z.looseObject({
  tenant: z.string(),
  key: z.string(),
  class: z.string(),
  firstSubmittedAtMs: z.number(),
  tasks: z.array(z.looseObject({ body: z.string() })),
});

export async function run(
  context: Context,
  args: SubmitArguments,
): Promise<CommandResult> {
  const job = readJob(context, args);
  if (job.isErr()) return err(job.error);
  const { tenant, ...body } = job.value;
  const answer = await sendToEntry(context, args, {
    method: "POST",
    path: `${jobsPath(tenant)}${args.wait ? "" : "?wait=0"}`,
    body,
    timeoutMs: ANSWER_TIMEOUT_MS,
  });
  return answer.map(reportAnswer);
}

function readJob(context: Context, { file, key, tenant }: SubmitArguments) {
  return readTextFile(file)
    .andThen((text) => parseJson(file, text))
    .andThen((document) =>
      validateDocument(file, {
        key: context.newToken(),
        firstSubmittedAtMs: context.now(),
        ...document,
        ...(key === undefined ? {} : { key }),
        ...(tenant === undefined ? {} : { tenant }),
      }, fileSchema)
    );
}

function parseJson(file: string, text: string): Result<object, InvalidFile> {
  try {
    const document: unknown = JSON.parse(text);
    if (document !== null && typeof document === "object") return ok(document);
    return err(new InvalidFile(file, DOCUMENT_ROOT_KEY, "is no JSON object"));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err(
      new InvalidFile(file, DOCUMENT_ROOT_KEY, reason.split("\n")[0]!),
    );
  }
}
