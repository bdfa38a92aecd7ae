/**
 * Applies a text as the next configuration version. The head key is updated by
 * compare-and-swap on the version that the operator edited from, so that of two
 * concurrent edits one gets a conflict. When the response to a write is lost,
 * the token stored in the head tells whether the write took effect.
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
  type ReadError,
} from "./repository.ts";
import { pruneHistory } from "./prune.ts";

/** An edit that an operator submits. */
export interface ConfigurationChange {
  readonly text: string;
  /**
   * The version that the text was edited from; 0 before the first. If the
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

export type ApplyOutcome =
  /** The store has confirmed the write. */
  | { readonly kind: "accepted"; readonly version: number }
  /** The text is already in force. */
  | { readonly kind: "unchanged"; readonly version: number }
  /** Another edit was applied first; nothing was overwritten. */
  | { readonly kind: "conflict"; readonly current: ConfigurationRecord }
  /** No response from the store; the change may take effect now or later. */
  | {
    readonly kind: "unknown";
    readonly version: number;
    readonly token: string;
  };

export interface ApplyOptions {
  readonly store: Store;
  readonly keys: ConfigurationKeys;
  /** Validates the text before anything is written. */
  readonly check: (
    configuration: Configuration,
  ) => Result<unknown, InvalidFile>;
  /** Number of earlier versions to keep. */
  readonly historyLimit?: number | undefined;
}

export const DEFAULT_HISTORY_LIMIT = 50;

/** Longer texts are stored in parts, so that listing the history is cheap. */
export const MAX_INLINE_BYTES = 32 * 1024;

const MAX_TEXT_BYTES = 16 * 1024 * 1024;
const MAX_SWAP_ATTEMPTS = 4;

/**
 * Applies a change. An error means that the change was not made and will not
 * be made later; only the outcome `unknown` leaves this undetermined.
 */
export async function applyChange(
  options: ApplyOptions,
  change: ConfigurationChange,
): Promise<Result<ApplyOutcome, ReadError>> {
  const checked = checkText(options, change);
  if (checked.isErr()) return err(checked.error);
  const repository = createConfigurationRepository(options);
  const read = await repository.readHead();
  if (read.isErr()) return err(read.error);
  const head = read.value;
  const earlyOutcome = findOutcomeBeforeWriting(change, head);
  if (earlyOutcome !== undefined) return ok(earlyOutcome);
  const prepared = await prepareRecord(options, change, head);
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
  { text, baseVersion }: ConfigurationChange,
): Result<unknown, InvalidFile> {
  if (Buffer.byteLength(text) > MAX_TEXT_BYTES) {
    return err(
      new InvalidFile("configuration", "text", "exceeds the maximum size"),
    );
  }
  const parts = splitConfigurationText(text);
  if (parts.some((part) => Buffer.byteLength(part) > MAX_PART_BYTES)) {
    return err(
      new InvalidFile(
        "configuration",
        "text",
        "has a table that exceeds the maximum size",
      ),
    );
  }
  return check({ version: baseVersion + 1, text });
}

function findOutcomeBeforeWriting(
  { text, baseVersion }: ConfigurationChange,
  head: Head | undefined,
): ApplyOutcome | undefined {
  if (head?.record.digest === digestOf(text)) {
    return { kind: "unchanged", version: head.record.version };
  }
  if (head !== undefined && head.record.version !== baseVersion) {
    return { kind: "conflict", current: head.record };
  }
  return undefined;
}

/** Writes the keys that the new head refers to, but not the head itself. */
async function prepareRecord(
  options: ApplyOptions,
  change: ConfigurationChange,
  head: Head | undefined,
): Promise<Result<ConfigurationRecord, ReadError>> {
  if (head !== undefined) {
    const { version } = head.record;
    const archived = await writeOnce(options.store, {
      key: options.keys.history(version),
      value: formatRecord(head.record),
    });
    if (archived.isErr()) return err(archived.error);
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

type RecordBody = Pick<ConfigurationRecord, "text" | "parts">;

/**
 * Reuses only parts of the current head. Pruning keeps these as long as this
 * change can still replace that head, so no other operator's pruning can remove
 * them.
 */
async function writeText(
  { store, keys }: ApplyOptions,
  { text, token }: ConfigurationChange,
  head: Head | undefined,
): Promise<Result<RecordBody, ReadError>> {
  if (Buffer.byteLength(text) <= MAX_INLINE_BYTES) {
    return ok({ text, parts: [] });
  }
  const partsOfHead = new Map(
    head?.record.parts.map((part) => [part.digest, part]),
  );
  const parts: PartReference[] = [];
  for (const [position, part] of splitConfigurationText(text).entries()) {
    const digest = digestOf(part);
    const reference = partsOfHead.get(digest) ??
      { key: keys.part(token, position), digest };
    if (!partsOfHead.has(digest)) {
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

/** Writes an immutable key; succeeds if the key already exists. */
async function writeOnce(
  store: Store,
  entry: Pick<Write, "key" | "value">,
): Promise<Result<void, StoreUnavailable>> {
  for (let attempt = 1;; attempt++) {
    const swap = await store.swap({ ...entry, expectedRevision: 0 });
    if (swap.isOk()) return ok(undefined);
    if (attempt === MAX_SWAP_ATTEMPTS) {
      return err(new StoreUnavailable("notRun", swap.error.message));
    }
  }
}

interface SwapContext {
  readonly store: Store;
  readonly keys: ConfigurationKeys;
  readonly head: Head | undefined;
}

/** The head has changed since the change was prepared. */
interface HeadChanged {
  readonly kind: "headChanged";
  readonly current: VersionedTaggedValue | undefined;
}

async function swapHead(
  { store, keys, head }: SwapContext,
  record: ConfigurationRecord,
): Promise<Result<ApplyOutcome, ReadError>> {
  const { version, token } = record;
  const swap = await swapIdempotently<HeadChanged>(store, keys.head, {
    decide: (current) =>
      current?.revision === head?.revision
        ? ok(formatRecord(record))
        : err({ kind: "headChanged", current }),
    attempts: MAX_SWAP_ATTEMPTS,
    newToken: () => token,
  });
  if (swap.isErr()) {
    return swap.error instanceof StoreUnavailable
      ? err(swap.error)
      : conflictOutcome(keys, swap.error.current);
  }
  switch (swap.value.kind) {
    case "accepted":
      return ok({ kind: "accepted", version });
    case "lostRace":
      return conflictOutcome(keys, swap.value.current);
    case "unknown":
      return ok({ kind: "unknown", version, token });
  }
}

function conflictOutcome(
  keys: ConfigurationKeys,
  current: VersionedTaggedValue | undefined,
): Result<ApplyOutcome, InvalidFile> {
  if (current === undefined) {
    return err(new InvalidFile(keys.head, "value", "has been removed"));
  }
  return parseRecord(keys.head, current.body)
    .map((record): ApplyOutcome => ({ kind: "conflict", current: record }));
}
