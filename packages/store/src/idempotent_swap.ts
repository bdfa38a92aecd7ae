/**
 * Read-modify-write by compare-and-swap, with a reliable outcome even if
 * responses are lost. The outcome is `accepted` or `lostRace` only when that is
 * certain.
 */
import { StoreUnavailable } from "@coltsfootreach/errors";
import { err, errAsync, ok, type Result, ResultAsync } from "neverthrow";
import { v4 } from "uuid";
import {
  decodeTaggedValue,
  encodeTaggedValue,
  nextValue,
  type TaggedWrite,
  type VersionedTaggedValue,
  writeStatus,
} from "./tagged_value.ts";
import type { Store, VersionedValue } from "./store.ts";

const DEFAULT_ATTEMPTS = 3;

export type IdempotentSwap =
  | {
    /** The write took effect; later writes may have replaced it since. */
    readonly kind: "accepted";
    readonly body: string;
    /** Revision of the write; undefined if a later write replaced it. */
    readonly revision?: number | undefined;
  }
  | {
    /** Another write came first; this one can never take effect. */
    readonly kind: "lostRace";
    readonly current: VersionedTaggedValue | undefined;
  }
  | {
    /** The write may have taken or may yet take effect; see `resolveUnknownSwap`. */
    readonly kind: "unknown";
    readonly write: TaggedWrite;
  };

export interface IdempotentSwapOptions<E> {
  /** Returns the new body, or an error to leave the key unchanged. */
  decide(current: VersionedTaggedValue | undefined): Result<string, E>;
  /** Maximum number of times the same write is sent. */
  readonly attempts?: number | undefined;
  /** Returns a unique token for the write. */
  readonly newToken?: (() => string) | undefined;
}

/**
 * Fails with the error of `decide`, or with `StoreUnavailable` and the verdict
 * `notRun` if nothing was written. The key must never be removed, because a
 * retry of the write that creates it would create it again.
 */
export function swapIdempotently<E>(
  store: Store,
  key: string,
  options: IdempotentSwapOptions<E>,
): ResultAsync<IdempotentSwap, E | StoreUnavailable> {
  const token = (options.newToken ?? v4)();
  const attempts = options.attempts ?? DEFAULT_ATTEMPTS;
  return store.read(key).andThen((found) => {
    const base = decodeTaggedValue(found);
    const decision = options.decide(base);
    if (decision.isErr()) {
      return errAsync<IdempotentSwap, E | StoreUnavailable>(decision.error);
    }
    const next = nextValue(base, { body: decision.value, token });
    const write = { key, token, base, next };
    return new ResultAsync<IdempotentSwap, E | StoreUnavailable>(
      sendWithRetries(store, write, attempts),
    );
  });
}

/**
 * Reads the key once to determine the outcome of a write that was `unknown`.
 */
export function resolveUnknownSwap(
  store: Store,
  write: TaggedWrite,
): ResultAsync<IdempotentSwap, StoreUnavailable> {
  return store.read(write.key).map((found) => outcomeFromRead(write, found));
}

/**
 * Retrying the same compare-and-swap is safe, because the first one to take
 * effect changes the revision that the others expect.
 */
async function sendWithRetries(
  store: Store,
  write: TaggedWrite,
  attempts: number,
): Promise<Result<IdempotentSwap, StoreUnavailable>> {
  const request = {
    key: write.key,
    value: encodeTaggedValue(write.next),
    expectedRevision: write.base?.revision ?? 0,
  };
  let isInDoubt = false;
  let lastError = new StoreUnavailable(
    "notRun",
    "not attempted: the maximum number of attempts is 0",
  );
  for (let attempt = 0; attempt < attempts; attempt++) {
    const result = await store.swap(request);
    if (result.isErr()) {
      lastError = result.error;
      isInDoubt ||= lastError.verdict !== "notRun";
      continue;
    }
    const swap = result.value;
    if (swap.kind === "swapped") {
      return ok(acceptedOutcome(write, swap.revision));
    }
    return ok(
      isInDoubt
        ? outcomeFromRead(write, swap.current)
        : lostRaceOutcome(swap.current),
    );
  }
  return isInDoubt ? ok({ kind: "unknown", write }) : err(lastError);
}

function outcomeFromRead(
  write: TaggedWrite,
  found: VersionedValue | undefined,
): IdempotentSwap {
  const current = decodeTaggedValue(found);
  switch (writeStatus(write, current)) {
    case "tookEffect":
      return acceptedOutcome(write, revisionIfNewest(write, current));
    case "lost":
      return { kind: "lostRace", current };
    case "undecided":
      return { kind: "unknown", write };
  }
}

function revisionIfNewest(
  write: TaggedWrite,
  current: VersionedTaggedValue | undefined,
): number | undefined {
  return current?.tokens[0] === write.token ? current.revision : undefined;
}

function acceptedOutcome(
  write: TaggedWrite,
  revision: number | undefined,
): IdempotentSwap {
  return { kind: "accepted", body: write.next.body, revision };
}

function lostRaceOutcome(found: VersionedValue | undefined): IdempotentSwap {
  return { kind: "lostRace", current: decodeTaggedValue(found) };
}
