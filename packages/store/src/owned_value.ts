/**
 * A value that says who wrote it. Each write adds a fresh token in front of the
 * tokens of the writes that it builds on, so a later reader can tell whether
 * an earlier write took effect, also after others have written on top of it.
 */
import { z } from "zod";
import type { Versioned } from "./store.ts";

/** Tokens kept in a value; older writes can no longer be recognized. */
const MAX_TOKENS = 32;

export interface OwnedValue {
  readonly body: string;
  /** Tokens of the writes up to this one, newest first. */
  readonly tokens: readonly string[];
}

/** An owned value with its place in the store. */
export interface Owned extends OwnedValue {
  readonly revision: number;
}

/** A write whose answer may have been lost. */
export interface OwnedWrite {
  readonly key: string;
  readonly token: string;
  /** What the write replaces; undefined when the key was absent. */
  readonly base: Owned | undefined;
  readonly next: OwnedValue;
}

/** What a value found later tells about a write. */
export type Fate = "tookEffect" | "lost" | "undecided";

const schema = z.strictObject({
  body: z.string(),
  tokens: z.array(z.string()).min(1),
});

export function successorOf(
  base: Owned | undefined,
  { body, token }: { body: string; token: string },
): OwnedValue {
  const tokens = [token, ...(base?.tokens ?? [])].slice(0, MAX_TOKENS);
  return { body, tokens };
}

export function encodeOwned({ body, tokens }: OwnedValue): string {
  return JSON.stringify({ body, tokens });
}

/** Text that was written without a token is a body without known writers. */
export function decodeOwned(found: Versioned | undefined): Owned | undefined {
  if (found === undefined) {
    return undefined;
  }
  const value = parse(found.value) ?? { body: found.value, tokens: [] };
  return { ...value, revision: found.revision };
}

/**
 * The write took effect when its token stands in the value or below it. It is
 * lost for good when the value was built on the write's base without it: the
 * base's revision never comes back. All else leaves it undecided, also an
 * unchanged base, because the write may still be on its way.
 */
export function fateOf(write: OwnedWrite, found: Owned | undefined): Fate {
  if (found === undefined) {
    return "undecided";
  }
  if (found.tokens.includes(write.token)) {
    return "tookEffect";
  }
  const base = write.base?.tokens[0];
  const replaced = base !== undefined &&
    found.tokens.indexOf(base) > 0 &&
    found.revision > (write.base?.revision ?? 0);
  return replaced ? "lost" : "undecided";
}

function parse(text: string): OwnedValue | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
