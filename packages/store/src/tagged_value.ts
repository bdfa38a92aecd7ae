/**
 * Values tagged with the tokens of the writes that led to them. Each write
 * prepends a new token to those of the value it replaces, so a later reader can
 * tell whether an earlier write took effect, even after further writes.
 */
import { z } from "zod";
import type { VersionedValue } from "./store.ts";

/** Maximum number of tokens in a value; older writes can't be recognized. */
const MAX_TOKENS = 32;

export interface TaggedValue {
  readonly body: string;
  /** Tokens of this write and the ones before it, newest first. */
  readonly tokens: readonly string[];
}

/** A tagged value with the revision of its key's last change. */
export interface VersionedTaggedValue extends TaggedValue {
  readonly revision: number;
}

/** A write whose response may have been lost. */
export interface TaggedWrite {
  readonly key: string;
  readonly token: string;
  /** The value that the write replaces; undefined if the key was absent. */
  readonly base: VersionedTaggedValue | undefined;
  readonly next: TaggedValue;
}

/** What a value that was read later shows about a write. */
export type WriteStatus = "tookEffect" | "lost" | "undecided";

const taggedValueSchema = z.strictObject({
  body: z.string(),
  tokens: z.array(z.string()).min(1),
});

export function nextValue(
  base: VersionedTaggedValue | undefined,
  { body, token }: { body: string; token: string },
): TaggedValue {
  const tokens = [token, ...(base?.tokens ?? [])].slice(0, MAX_TOKENS);
  return { body, tokens };
}

export function encodeTaggedValue({ body, tokens }: TaggedValue): string {
  return JSON.stringify({ body, tokens });
}

/** A value that was not written as a tagged value has no tokens. */
export function decodeTaggedValue(
  found: VersionedValue | undefined,
): VersionedTaggedValue | undefined {
  if (found === undefined) {
    return undefined;
  }
  const value = parseTaggedValue(found.value) ??
    { body: found.value, tokens: [] };
  return { ...value, revision: found.revision };
}

/**
 * The write took effect if the value has its token. It is lost for good if the
 * value descends from the write's base without that token, because the base's
 * revision never recurs. Anything else is undecided, including an unchanged
 * base, because the request may still be in flight.
 */
export function writeStatus(
  write: TaggedWrite,
  found: VersionedTaggedValue | undefined,
): WriteStatus {
  if (found === undefined) {
    return "undecided";
  }
  if (found.tokens.includes(write.token)) {
    return "tookEffect";
  }
  const baseToken = write.base?.tokens[0];
  const isSuperseded = baseToken !== undefined &&
    found.tokens.indexOf(baseToken) > 0 &&
    found.revision > (write.base?.revision ?? 0);
  return isSuperseded ? "lost" : "undecided";
}

function parseTaggedValue(text: string): TaggedValue | undefined {
  try {
    return taggedValueSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
