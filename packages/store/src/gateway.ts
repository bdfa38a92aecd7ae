/**
 * HTTP requests to the endpoints of the key-value service. An endpoint that
 * fails is tried last by the calls that follow. A write goes to the next
 * endpoint only when it cannot have reached the one before.
 */
import { err, ok, type Result } from "neverthrow";
import { Agent, type Dispatcher } from "undici";
import type { z } from "zod";
import { noCalls } from "./calls.ts";
import { brokenAttempt, errorStatus, type Failure } from "./failure.ts";
import type { StoreCall } from "./store.ts";

export interface Gateway {
  /** Sends a request and checks its answer against the schema. */
  post<S extends z.ZodType>(
    request: Request<S>,
  ): Promise<Result<z.infer<S>, Failure>>;
  /** Opens an answer that does not end by itself. */
  stream(
    path: string,
    options: StreamOptions,
  ): Promise<Dispatcher.ResponseData>;
  calls(): Readonly<Record<StoreCall, number>>;
  close(): Promise<void>;
}

export interface Request<S extends z.ZodType> {
  readonly call: StoreCall;
  readonly path: string;
  readonly body: unknown;
  readonly answer: S;
}

export interface StreamOptions {
  readonly body: unknown;
  readonly signal: AbortSignal;
}

export interface GatewayOptions {
  /** HTTP origins such as `http://10.0.0.1:2379`, at least one. */
  readonly endpoints: readonly string[];
  /** Bounds a whole call over all endpoints, in milliseconds. */
  readonly timeoutMs: number;
}

export function createGateway(options: GatewayOptions): Gateway {
  const { endpoints, timeoutMs } = options;
  const agent = new Agent({
    connect: { timeout: timeoutMs / endpoints.length },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const calls = noCalls();
  let preferred = 0;

  return { post, stream, calls: () => ({ ...calls }), close };

  async function post<S extends z.ZodType>(
    request: Request<S>,
  ): Promise<Result<z.infer<S>, Failure>> {
    const deadlineAtMs = performance.now() + timeoutMs;
    const first = preferred;
    let last: Failure = TIMED_OUT_BEFORE_SENDING;
    for (let tried = 0; tried < endpoints.length; tried++) {
      const leftMs = deadlineAtMs - performance.now();
      if (leftMs <= 0) {
        break;
      }
      const index = (first + tried) % endpoints.length;
      const share = request.call === "read" ? endpoints.length - tried : 1;
      const answer = await attempt(request, { index, limitMs: leftMs / share });
      if (answer.isOk()) {
        return answer;
      }
      last = answer.error;
      if (!last.rejected) {
        avoid(index);
      }
      if (isFinal(request.call, last)) {
        break;
      }
    }
    return err(last);
  }

  async function attempt<S extends z.ZodType>(
    request: Request<S>,
    { index, limitMs }: { index: number; limitMs: number },
  ): Promise<Result<z.infer<S>, Failure>> {
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(new Error("timeout")), limitMs);
    calls[request.call]++;
    try {
      const { signal } = abort;
      const response = await send(index, request.path, {
        body: request.body,
        signal,
      });
      const text = await response.body.text();
      return readAnswer(request, response.statusCode, text);
    } catch (cause) {
      return err(brokenAttempt(cause));
    } finally {
      clearTimeout(timer);
    }
  }

  async function stream(
    path: string,
    { body, signal }: StreamOptions,
  ): Promise<Dispatcher.ResponseData> {
    const index = preferred;
    calls.watch++;
    try {
      return await send(index, path, { body, signal });
    } catch (cause) {
      avoid(index);
      throw cause;
    }
  }

  function send(
    index: number,
    path: string,
    { body, signal }: StreamOptions,
  ): Promise<Dispatcher.ResponseData> {
    return agent.request({
      origin: endpoints[index] ?? "",
      path,
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
      signal,
    });
  }

  function avoid(index: number): void {
    if (index === preferred) {
      preferred = (index + 1) % endpoints.length;
    }
  }

  function close(): Promise<void> {
    return agent.destroy();
  }
}

const TIMED_OUT_BEFORE_SENDING: Failure = {
  verdict: "notRun",
  reason: "timeout",
  rejected: false,
};

function isFinal(call: StoreCall, failure: Failure): boolean {
  if (failure.rejected) {
    return true;
  }
  return call !== "read" && failure.verdict !== "notRun";
}

function readAnswer<S extends z.ZodType>(
  request: Request<S>,
  status: number,
  text: string,
): Result<z.infer<S>, Failure> {
  if (status !== 200) {
    return err(errorStatus(status, text));
  }
  const parsed = request.answer.safeParse(JSON.parse(text));
  return parsed.success ? ok(parsed.data) : err(
    brokenAttempt(new Error(`malformed answer: ${parsed.error.message}`)),
  );
}
