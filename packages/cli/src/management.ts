/** Asks the operators' interfaces of the entries. */
import { err, ok, type Result } from "neverthrow";
import type { InvalidFile } from "@coltsfootreach/errors";
import type { Context } from "./context.ts";
import { type HttpAnswer, reasonOf, send } from "./http.ts";
import { CommandFailed } from "./report.ts";

const TIMEOUT_MS = 5_000;
const HTTP_OK = 200;

/** What each entry said, and why the others said nothing. */
export interface EntryAnswers<Body> {
  readonly bodies: readonly Body[];
  readonly failures: readonly string[];
}

/** Asks all entries; fails when none answers. */
export async function askAll<Body>(
  context: Context,
  path: string,
): Promise<Result<EntryAnswers<Body>, CommandFailed | InvalidFile>> {
  const asked = await ask(context, path);
  if (asked.isErr()) return err(asked.error);
  const answers = collect<Body>(asked.value);
  if (answers.bodies.length > 0) return ok(answers);
  return err(new CommandFailed(answers.failures.join("; ")));
}

/** Asks all entries and takes the first that has something to say. */
export async function askAny<Body>(
  context: Context,
  path: string,
): Promise<Result<Body, CommandFailed | InvalidFile>> {
  const asked = await ask(context, path);
  if (asked.isErr()) return err(asked.error);
  const { bodies, failures } = collect<Body>(asked.value);
  if (bodies.length > 0) return ok(bodies[0]!);
  return err(new CommandFailed([...new Set(failures)].join("; ")));
}

type Asked = Result<HttpAnswer, CommandFailed>;

async function ask(
  context: Context,
  path: string,
): Promise<Result<readonly Asked[], CommandFailed | InvalidFile>> {
  const settings = context.settings();
  if (settings.isErr()) return err(settings.error);
  const { management } = settings.value;
  if (management === undefined) {
    return err(new CommandFailed("the settings have no [management] section"));
  }
  const { endpoints, token } = management;
  const answers = await Promise.all(
    endpoints.map((origin) =>
      send({ origin, path, method: "GET", token, timeoutMs: TIMEOUT_MS })
    ),
  );
  return ok(answers);
}

function collect<Body>(asked: readonly Asked[]): EntryAnswers<Body> {
  const bodies: Body[] = [];
  const failures: string[] = [];
  for (const answer of asked) {
    if (answer.isErr()) failures.push(answer.error.message);
    else if (answer.value.status === HTTP_OK) {
      bodies.push(answer.value.body as Body);
    } else failures.push(reasonOf(answer.value));
  }
  return { bodies, failures };
}
