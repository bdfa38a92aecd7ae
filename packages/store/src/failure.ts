/**
 * Classifies failed HTTP requests by whether the request may have taken
 * effect. A failure that can't be proven to precede the effect is `mayHaveRun`.
 */
import type { Verdict } from "@coltsfootreach/types";
import type { z } from "zod";
import { errorResponse } from "./wire.ts";

export interface Failure {
  readonly verdict: Verdict;
  readonly reason: string;
  /** The service itself rejected the request; retrying can't succeed. */
  readonly rejected: boolean;
  /** The gRPC status code, if the service sent a response. */
  readonly code?: number | undefined;
}

export const NOT_FOUND = 5;
const UNKNOWN = 2;
const INVALID_ARGUMENT = 3;
const PERMISSION_DENIED = 7;
const RESOURCE_EXHAUSTED = 8;
const FAILED_PRECONDITION = 9;
const OUT_OF_RANGE = 11;
const UNIMPLEMENTED = 12;
const UNAUTHENTICATED = 16;

/** Prefix of etcd's own errors; other errors come from intermediaries. */
const ETCD_ERROR_PREFIX = "etcdserver: ";

/** Status codes of requests that the service rejects before any effect. */
const NO_EFFECT_STATUS_CODES: readonly number[] = [
  NOT_FOUND,
  INVALID_ARGUMENT,
  PERMISSION_DENIED,
  RESOURCE_EXHAUSTED,
  FAILED_PRECONDITION,
  OUT_OF_RANGE,
  UNIMPLEMENTED,
  UNAUTHENTICATED,
];

interface SystemError {
  readonly code?: string;
  readonly syscall?: string;
  readonly errors?: readonly unknown[];
}

/** Classifies a connection error or a timeout. */
export function failureFromError(cause: unknown): Failure {
  const verdict = isConnectError(cause) ? "notRun" : "mayHaveRun";
  return { verdict, reason: errorMessage(cause), rejected: false };
}

/** Classifies a response with a status other than 200. */
export function failureFromResponse(status: number, text: string): Failure {
  const { code, message } = parseError(text);
  const rejected = NO_EFFECT_STATUS_CODES.includes(code) &&
    message.startsWith(ETCD_ERROR_PREFIX);
  const verdict = rejected ? "notRun" : "mayHaveRun";
  return { verdict, reason: `HTTP ${status}: ${text}`, rejected, code };
}

function isConnectError(cause: unknown): boolean {
  const { code, syscall, errors } = (cause ?? {}) as SystemError;
  if (errors !== undefined && errors.length > 0) {
    return errors.every(isConnectError);
  }
  // An established connection can fail with the same error codes, so only the
  // system call shows that connecting failed.
  return syscall === "connect" || syscall === "getaddrinfo" ||
    code === "UND_ERR_CONNECT_TIMEOUT";
}

function errorMessage(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}

function parseError(text: string): z.infer<typeof errorResponse> {
  try {
    return errorResponse.parse(JSON.parse(text));
  } catch {
    return { code: UNKNOWN, message: text };
  }
}
