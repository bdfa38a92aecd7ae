/**
 * Read, decide and compare-and-swap in one step, with an outcome that can be
 * relied on when answers are lost. An outcome is `accepted` or `lostRace` only
 * when that is certain.
 */
import { StoreUnavailable } from "@coltsfootreach/errors";
import { err, errAsync, ok, type Result, ResultAsync } from "neverthrow";
import { v4 } from "uuid";
import {
  decodeOwned,
  encodeOwned,
  fateOf,
  type Owned,
  type OwnedWrite,
  successorOf,
} from "./owned_value.ts";
import type { Store, Versioned } from "./store.ts";

const DEFAULT_ATTEMPTS = 3;

export type OwnedSwap =
  | {
    /** The write took effect; others may have written on top of it since. */
    readonly kind: "accepted";
    readonly body: string;
    /** Revision of the write; absent when only its token was found. */
    readonly revision?: number | undefined;
  }
  | {
    /** Someone else's write came first and this one never takes effect. */
    readonly kind: "lostRace";
    readonly current: Owned | undefined;
  }
  | {
    /** The write may have taken effect, or may still; see `settleOwned`. */
    readonly kind: "unknown";
    readonly write: OwnedWrite;
  };

export interface SwapOwnedOptions<E> {
  /** Returns the new body, or an error that leaves the key as it is. */
  decide(current: Owned | undefined): Result<string, E>;
  /** Sends of the same write while its outcome is in doubt. */
  readonly attempts?: number | undefined;
  /** Makes a token that no other write has. */
  readonly newToken?: (() => string) | undefined;
}

/**
 * Errors are those of `decide`, and `StoreUnavailable` with the verdict
 * `notRun` when nothing was written. The key must never be removed: a repeated
 * first write would bring it back.
 */
export function swapOwned<E>(
  store: Store,
  key: string,
  options: SwapOwnedOptions<E>,
): ResultAsync<OwnedSwap, E | StoreUnavailable> {
  const token = (options.newToken ?? v4)();
  const attempts = options.attempts ?? DEFAULT_ATTEMPTS;
  return store.read(key).andThen((found) => {
    const base = decodeOwned(found);
    const decided = options.decide(base);
    if (decided.isErr()) {
      return errAsync<OwnedSwap, E | StoreUnavailable>(decided.error);
    }
    const next = successorOf(base, { body: decided.value, token });
    const write = { key, token, base, next };
    return new ResultAsync<OwnedSwap, E | StoreUnavailable>(
      send(store, write, attempts),
    );
  });
}

/**
 * Reads once and says what has become of a write whose outcome was `unknown`.
 */
export function settleOwned(
  store: Store,
  write: OwnedWrite,
): ResultAsync<OwnedSwap, StoreUnavailable> {
  return store.read(write.key).map((found) => settled(write, found));
}

/**
 * Repeating the same compare-and-swap is safe, since the first that takes
 * effect changes the revision that the others expect.
 */
async function send(
  store: Store,
  write: OwnedWrite,
  attempts: number,
): Promise<Result<OwnedSwap, StoreUnavailable>> {
  const request = {
    key: write.key,
    value: encodeOwned(write.next),
    expectedRevision: write.base?.revision ?? 0,
  };
  let inDoubt = false;
  let last = new StoreUnavailable("notRun", "no attempt was allowed");
  for (let attempt = 0; attempt < attempts; attempt++) {
    const answer = await store.swap(request);
    if (answer.isErr()) {
      last = answer.error;
      inDoubt ||= last.verdict !== "notRun";
      continue;
    }
    const swap = answer.value;
    if (swap.kind === "swapped") {
      return ok(accepted(write, swap.revision));
    }
    return ok(
      inDoubt ? settled(write, swap.current) : lostRace(swap.current),
    );
  }
  return inDoubt ? ok({ kind: "unknown", write }) : err(last);
}

function settled(
  write: OwnedWrite,
  found: Versioned | undefined,
): OwnedSwap {
  const current = decodeOwned(found);
  switch (fateOf(write, current)) {
    case "tookEffect":
      return accepted(write, revisionIfNewest(write, current));
    case "lost":
      return { kind: "lostRace", current };
    case "undecided":
      return { kind: "unknown", write };
  }
}

function revisionIfNewest(
  write: OwnedWrite,
  current: Owned | undefined,
): number | undefined {
  return current?.tokens[0] === write.token ? current.revision : undefined;
}

function accepted(write: OwnedWrite, revision: number | undefined): OwnedSwap {
  return { kind: "accepted", body: write.next.body, revision };
}

function lostRace(found: Versioned | undefined): OwnedSwap {
  return { kind: "lostRace", current: decodeOwned(found) };
}
