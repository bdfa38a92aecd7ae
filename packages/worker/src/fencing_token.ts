/**
 * The fencing token of a side's requests. A backend server ignores requests with
 * a token lower than the highest that it has seen, so that a late request of an
 * earlier side process has no effect.
 */

/**
 * First step by which a rejected token is raised. Tokens start from the wall
 * clock, so an earlier process has a higher one only if that clock was set back.
 */
const FIRST_RAISE_MS = 10_000;

/** Factor between steps, since the server does not report the token that it saw. */
const RAISE_FACTOR = 16;

export interface FencingToken {
  value(): number;
  /** The backend server has seen a higher token. */
  raise(): void;
  /** Requests that were sent before must not take effect any more. */
  advance(): void;
}

export function createFencingToken(initial: number): FencingToken {
  let value = initial;
  let nextRaiseMs = FIRST_RAISE_MS;
  return {
    value: () => value,
    raise() {
      value = Math.min(Number.MAX_SAFE_INTEGER, value + nextRaiseMs);
      nextRaiseMs *= RAISE_FACTOR;
    },
    advance() {
      value = Math.min(Number.MAX_SAFE_INTEGER, value + 1);
    },
  };
}
