/**
 * Makes a text the next configuration version. The head key moves by
 * compare-and-swap on the version that the operator edited from, so of two
 * racing edits one is told of a conflict. A write whose answer was lost is
 * settled by the token that it leaves in the head.
 */
import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { InvalidFile, StoreUnavailable } from "@coltsfootreach/errors";
import {
  MAX_PART_BYTES,
  splitConfigurationText,
} from "@coltsfootreach/inventory";
import {
  type Store,
  swapIdempotently,
  type VersionedTaggedValue,
  type Write,
} from "@coltsfootreach/store";
import type { Configuration } from "@coltsfootreach/types";
import type { ConfigurationKeys } from "./keys.ts";
import {
  type ConfigurationRecord,
  digestOf,
  formatRecord,
  parseRecord,
  type PartReference,
} from "./record.ts";
import {
  createConfigurationRepository,
  type Head,
  type ReadFault,
} from "./repository.ts";
import { pruneHistory } from "./prune.ts";

/** An edit that an operator wants to be in force. */
export interface Change {
  readonly text: string;
  /**
   * The version that the text was edited from; 0 before the first. When the
   * store has lost its data, the version that the fleet still has in force.
   */
  readonly baseVersion: number;
  readonly author: string;
  readonly note: string;
  /** Unique to this change. */
  readonly token: string;
  /** Unix milliseconds on the author's clock. */
  readonly atMs: number;
}

export type Outcome =
  /** The store has it for certain. */
  | { readonly kind: "accepted"; readonly version: number }
  /** The text is in force already. */
  | { readonly kind: "unchanged"; readonly version: number }
  /** Another edit came first; nothing was overwritten. */
  | { readonly kind: "conflict"; readonly current: ConfigurationRecord }
  /** The store gave no answer; the change may be in force or come later. */
  | {
    readonly kind: "unknown";
    readonly version: number;
    readonly token: string;
  };

export interface ApplyOptions {
  readonly store: Store;
  readonly keys: ConfigurationKeys;
  /** Checks the text before anything is written. */
  readonly check: (
    configuration: Configuration,
  ) => Result<unknown, InvalidFile>;
  /** Earlier versions that are kept. */
  readonly historyLimit?: number | undefined;
}

export const DEFAULT_HISTORY_LIMIT = 50;

/** Longer texts go into parts, so that history is cheap to list. */
export const LONGEST_INLINE_BYTES = 32 * 1024;

const LARGEST_TEXT_BYTES = 16 * 1024 * 1024;
const SWAP_ATTEMPTS = 4;

/**
 * Applies a change. An error means that the change was not made and will not
 * be; `unknown` is the one outcome that leaves it open.
 */
export async function applyChange(
  options: ApplyOptions,
  change: Change,
): Promise<Result<Outcome, ReadFault>> {
  const checked = checkText(options, change);
  if (checked.isErr()) return err(checked.error);
  const repository = createConfigurationRepository(options);
  const read = await repository.readHead();
  if (read.isErr()) return err(read.error);
  const head = read.value;
  const settled = settleBeforeWriting(change, head);
  if (settled !== undefined) return ok(settled);
  const prepared = await prepare(options, change, head);
  if (prepared.isErr()) return err(prepared.error);
  const outcome = await swapHead({ ...options, head }, prepared.value);
  if (outcome.isOk() && outcome.value.kind === "accepted") {
    await pruneHistory({
      ...options,
      newest: prepared.value,
      limit: options.historyLimit ?? DEFAULT_HISTORY_LIMIT,
    });
  }
  return outcome;
}

function checkText(
  { check }: ApplyOptions,
  { text, baseVersion }: Change,
): Result<unknown, InvalidFile> {
  if (Buffer.byteLength(text) > LARGEST_TEXT_BYTES) {
    return err(new InvalidFile("configuration", "text", "is too long"));
  }
  const parts = splitConfigurationText(text);
  if (parts.some((part) => Buffer.byteLength(part) > MAX_PART_BYTES)) {
    return err(
      new InvalidFile("configuration", "text", "has too long a table"),
    );
  }
  return check({ version: baseVersion + 1, text });
}

function settleBeforeWriting(
  { text, baseVersion }: Change,
  head: Head | undefined,
): Outcome | undefined {
  if (head?.record.digest === digestOf(text)) {
    return { kind: "unchanged", version: head.record.version };
  }
  if (head !== undefined && head.record.version !== baseVersion) {
    return { kind: "conflict", current: head.record };
  }
  return undefined;
}

/** Writes all that the new head will refer to; the head itself stays. */
async function prepare(
  options: ApplyOptions,
  change: Change,
  head: Head | undefined,
): Promise<Result<ConfigurationRecord, ReadFault>> {
  if (head !== undefined) {
    const { version } = head.record;
    const kept = await writeOnce(options.store, {
      key: options.keys.history(version),
      value: formatRecord(head.record),
    });
    if (kept.isErr()) return err(kept.error);
  }
  const body = await writeText(options, change, head);
  return body.map((written) => ({
    version: change.baseVersion + 1,
    token: change.token,
    author: change.author,
    atMs: change.atMs,
    note: change.note,
    digest: digestOf(change.text),
    ...written,
  }));
}

type Body = Pick<ConfigurationRecord, "text" | "parts">;

/**
 * Only parts of the present head are referred to again: they are kept for as
 * long as it may be followed by this change, so no other operator's clean-up
 * can take them away.
 */
async function writeText(
  { store, keys }: ApplyOptions,
  { text, token }: Change,
  head: Head | undefined,
): Promise<Result<Body, ReadFault>> {
  if (Buffer.byteLength(text) <= LONGEST_INLINE_BYTES) {
    return ok({ text, parts: [] });
  }
  const present = new Map(
    head?.record.parts.map((part) => [part.digest, part]),
  );
  const parts: PartReference[] = [];
  for (const [position, part] of splitConfigurationText(text).entries()) {
    const digest = digestOf(part);
    const reference = present.get(digest) ??
      { key: keys.part(token, position), digest };
    if (!present.has(digest)) {
      const written = await writeOnce(store, {
        key: reference.key,
        value: part,
      });
      if (written.isErr()) return err(written.error);
    }
    parts.push(reference);
  }
  return ok({ parts });
}

/** Writes a key whose value never changes; present already is as good. */
async function writeOnce(
  store: Store,
  entry: Pick<Write, "key" | "value">,
): Promise<Result<void, StoreUnavailable>> {
  for (let attempt = 1;; attempt++) {
    const swap = await store.swap({ ...entry, expectedRevision: 0 });
    if (swap.isOk()) return ok(undefined);
    if (attempt === SWAP_ATTEMPTS) {
      return err(new StoreUnavailable("notRun", swap.error.message));
    }
  }
}

interface SwapContext {
  readonly store: Store;
  readonly keys: ConfigurationKeys;
  readonly head: Head | undefined;
}

/** The head is not the one any more that the change was prepared on. */
interface HeadMoved {
  readonly kind: "headMoved";
  readonly current: VersionedTaggedValue | undefined;
}

async function swapHead(
  { store, keys, head }: SwapContext,
  record: ConfigurationRecord,
): Promise<Result<Outcome, ReadFault>> {
  const { version, token } = record;
  const swap = await swapIdempotently<HeadMoved>(store, keys.head, {
    decide: (current) =>
      current?.revision === head?.revision
        ? ok(formatRecord(record))
        : err({ kind: "headMoved", current }),
    attempts: SWAP_ATTEMPTS,
    newToken: () => token,
  });
  if (swap.isErr()) {
    return swap.error instanceof StoreUnavailable
      ? err(swap.error)
      : conflictWith(keys, swap.error.current);
  }
  switch (swap.value.kind) {
    case "accepted":
      return ok({ kind: "accepted", version });
    case "lostRace":
      return conflictWith(keys, swap.value.current);
    case "unknown":
      return ok({ kind: "unknown", version, token });
  }
}

function conflictWith(
  keys: ConfigurationKeys,
  current: VersionedTaggedValue | undefined,
): Result<Outcome, InvalidFile> {
  if (current === undefined) {
    return err(new InvalidFile(keys.head, "value", "has been removed"));
  }
  return parseRecord(keys.head, current.body)
    .map((record): Outcome => ({ kind: "conflict", current: record }));
}
