/** Requests to the entries' interfaces; an answer of any status is a result. */
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { CommandFailed } from "./report.ts";

export interface HttpRequest {
  readonly origin: string;
  readonly path: string;
  readonly method: "GET" | "POST" | "DELETE";
  readonly body?: unknown;
  readonly token?: string | undefined;
  /** Bound on the wait for the answer in milliseconds. */
  readonly timeoutMs: number;
}

export interface HttpAnswer {
  readonly origin: string;
  readonly status: number;
  readonly body: unknown;
}

export async function send(
  { origin, path, method, body, token, timeoutMs }: HttpRequest,
): Promise<Result<HttpAnswer, CommandFailed>> {
  try {
    const answer = await request(`${origin}${path}`, {
      method,
      headers: {
        ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
        ...(body === undefined ? {} : { "content-type": "application/json" }),
      },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await answer.body.text();
    return ok({ origin, status: answer.statusCode, body: parseBody(text) });
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err(new CommandFailed(`${origin}: ${reason || "no connection"}`));
  }
}

/** The reason in an answer that is no success. */
export function reasonOf({ origin, status, body }: HttpAnswer): string {
  const reason = (body as { readonly reason?: unknown } | null)?.reason;
  return `${origin}: ${typeof reason === "string" ? reason : `HTTP ${status}`}`;
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}
