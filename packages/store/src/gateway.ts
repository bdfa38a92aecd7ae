/**
 * Sends HTTP requests to the endpoints of the key-value service. After a
 * failure, later calls try that endpoint last. A write fails over to the next
 * endpoint only if it can't have reached the previous one.
 */
import { err, ok, type Result } from "neverthrow";
import { Agent, type Dispatcher } from "undici";
import type { z } from "zod";
import { zeroCallCounts } from "./calls.ts";
import {
  type Failure,
  failureFromError,
  failureFromResponse,
} from "./failure.ts";
import type { StoreCall } from "./store.ts";

export interface Gateway {
  /** Sends a request and validates the response against its schema. */
  post<S extends z.ZodType>(
    request: GatewayRequest<S>,
  ): Promise<Result<z.infer<S>, Failure>>;
  /** Sends a request whose response is an unbounded stream. */
  stream(
    path: string,
    options: StreamOptions,
  ): Promise<Dispatcher.ResponseData>;
  calls(): Readonly<Record<StoreCall, number>>;
  close(): Promise<void>;
}

export interface GatewayRequest<S extends z.ZodType> {
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
  /** At least one HTTP origin, such as `http://10.0.0.1:2379`. */
  readonly endpoints: readonly string[];
  /** Timeout of a call including failover, in milliseconds. */
  readonly timeoutMs: number;
}

export function createGateway(options: GatewayOptions): Gateway {
  const { endpoints, timeoutMs } = options;
  const agent = new Agent({
    connect: { timeout: timeoutMs / endpoints.length },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const calls = zeroCallCounts();
  let preferredIndex = 0;

  return { post, stream, calls: () => ({ ...calls }), close };

  async function post<S extends z.ZodType>(
    request: GatewayRequest<S>,
  ): Promise<Result<z.infer<S>, Failure>> {
    const deadlineAtMs = performance.now() + timeoutMs;
    const firstIndex = preferredIndex;
    let lastFailure: Failure = TIMED_OUT_BEFORE_SENDING;
    for (let triedCount = 0; triedCount < endpoints.length; triedCount++) {
      const remainingMs = deadlineAtMs - performance.now();
      if (remainingMs <= 0) {
        break;
      }
      const index = (firstIndex + triedCount) % endpoints.length;
      const budgetDivisor = request.call === "read"
        ? endpoints.length - triedCount
        : 1;
      const result = await sendOnce(request, {
        index,
        attemptTimeoutMs: remainingMs / budgetDivisor,
      });
      if (result.isOk()) {
        return result;
      }
      lastFailure = result.error;
      if (!lastFailure.rejected) {
        deprioritize(index);
      }
      if (isTerminalFailure(request.call, lastFailure)) {
        break;
      }
    }
    return err(lastFailure);
  }

  async function sendOnce<S extends z.ZodType>(
    request: GatewayRequest<S>,
    { index, attemptTimeoutMs }: { index: number; attemptTimeoutMs: number },
  ): Promise<Result<z.infer<S>, Failure>> {
    const abortController = new AbortController();
    const timer = setTimeout(
      () => abortController.abort(new Error("timeout")),
      attemptTimeoutMs,
    );
    calls[request.call]++;
    try {
      const { signal } = abortController;
      const response = await send(index, request.path, {
        body: request.body,
        signal,
      });
      const text = await response.body.text();
      return parseResponse(request, response.statusCode, text);
    } catch (cause) {
      return err(failureFromError(cause));
    } finally {
      clearTimeout(timer);
    }
  }

  async function stream(
    path: string,
    { body, signal }: StreamOptions,
  ): Promise<Dispatcher.ResponseData> {
    const index = preferredIndex;
    calls.watch++;
    try {
      return await send(index, path, { body, signal });
    } catch (cause) {
      deprioritize(index);
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

  function deprioritize(index: number): void {
    if (index === preferredIndex) {
      preferredIndex = (index + 1) % endpoints.length;
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

function isTerminalFailure(call: StoreCall, failure: Failure): boolean {
  if (failure.rejected) {
    return true;
  }
  return call !== "read" && failure.verdict !== "notRun";
}

function parseResponse<S extends z.ZodType>(
  request: GatewayRequest<S>,
  status: number,
  text: string,
): Result<z.infer<S>, Failure> {
  if (status !== 200) {
    return err(failureFromResponse(status, text));
  }
  const parsed = request.answer.safeParse(JSON.parse(text));
  return parsed.success ? ok(parsed.data) : err(
    failureFromError(new Error(`malformed response: ${parsed.error.message}`)),
  );
}
