/**
 * Hedged reads. A store that was silent for a while answers new requests again,
 * but never the ones that it lost, so waiting for their timeout delays a process
 * that starts during an outage. Only for reads, which may be repeated.
 */
import { err, type Result, ResultAsync } from "neverthrow";

/** A store under heavy load answers within this time. */
const HEDGE_DELAY_MS = 400;

/** Attempts in flight at a time; the first ones have timed out by then. */
const MAX_ATTEMPTS = 4;

export interface HedgeOptions {
  /** Time without an answer after which another attempt is made. */
  readonly delayMs?: number | undefined;
  readonly maxAttempts?: number | undefined;
}

/**
 * Repeats a read that is not answered within the delay, and returns the first
 * value. Fails once every attempt that was made has failed.
 */
export function hedgedRead<T, E>(
  read: () => ResultAsync<T, E>,
  options: HedgeOptions = {},
): ResultAsync<T, E> {
  const { delayMs = HEDGE_DELAY_MS, maxAttempts = MAX_ATTEMPTS } = options;
  return new ResultAsync(
    new Promise<Result<T, E>>((resolve) => {
      let attempts = 0;
      let pending = 0;
      let timer: NodeJS.Timeout | undefined;

      function settle(result: Result<T, E>): void {
        clearTimeout(timer);
        resolve(result);
      }

      async function attempt(): Promise<void> {
        attempts += 1;
        pending += 1;
        if (attempts < maxAttempts) timer = setTimeout(attempt, delayMs);
        const result = await read();
        pending -= 1;
        if (result.isOk()) settle(result);
        else if (pending === 0) settle(err(result.error));
      }

      attempt();
    }),
  );
}
