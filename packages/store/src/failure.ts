/**
 * Tells from a failed HTTP attempt whether the request may have taken effect.
 * Anything that is not known to precede the effect counts as `mayHaveRun`.
 */
import type { Verdict } from "@coltsfootreach/types";
import type { z } from "zod";
import { errorAnswer } from "./wire.ts";

export interface Failure {
  readonly verdict: Verdict;
  readonly reason: string;
  /** The service itself turned the request down; asking again is no use. */
  readonly rejected: boolean;
  /** The gRPC status code, when the service has answered. */
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

/** How the service's own errors begin; others come from what is in between. */
const OWN_ERROR = "etcdserver: ";

/** Status codes with which the service refuses before any effect. */
const REFUSALS: readonly number[] = [
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

/** A failure of the connection or of the timeout. */
export function brokenAttempt(cause: unknown): Failure {
  const verdict = precedesSending(cause) ? "notRun" : "mayHaveRun";
  return { verdict, reason: describe(cause), rejected: false };
}

/** An answer of the service other than success. */
export function errorStatus(status: number, text: string): Failure {
  const { code, message } = parseError(text);
  const rejected = REFUSALS.includes(code) && message.startsWith(OWN_ERROR);
  const verdict = rejected ? "notRun" : "mayHaveRun";
  return { verdict, reason: `HTTP ${status}: ${text}`, rejected, code };
}

function precedesSending(cause: unknown): boolean {
  const { code, syscall, errors } = (cause ?? {}) as SystemError;
  if (errors !== undefined && errors.length > 0) {
    return errors.every(precedesSending);
  }
  // An open connection can fail with the same codes; only the call differs.
  return syscall === "connect" || syscall === "getaddrinfo" ||
    code === "UND_ERR_CONNECT_TIMEOUT";
}

function describe(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}

function parseError(text: string): z.infer<typeof errorAnswer> {
  try {
    return errorAnswer.parse(JSON.parse(text));
  } catch {
    return { code: UNKNOWN, message: text };
  }
}
