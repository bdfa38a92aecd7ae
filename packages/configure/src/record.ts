/**
 * The record of one configuration version as the key-value service holds it.
 * A short text stands in the record itself, a long one in parts beside it.
 */
import { createHash } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { InvalidFile } from "@coltsfootreach/errors";

/** A piece of a long text. */
export interface PartReference {
  readonly key: string;
  readonly digest: string;
}

export interface ConfigurationRecord {
  readonly version: number;
  /** Chosen anew for each change; tells whose write took effect. */
  readonly token: string;
  readonly author: string;
  /** On the author's clock, in Unix milliseconds. */
  readonly atMs: number;
  readonly note: string;
  /** SHA-256 of the whole text. */
  readonly digest: string;
  /** Absent when the text stands in parts. */
  readonly text?: string | undefined;
  readonly parts: readonly PartReference[];
}

const recordSchema = z.object({
  version: z.int().min(1),
  token: z.string(),
  author: z.string(),
  atMs: z.number(),
  note: z.string(),
  digest: z.string(),
  text: z.string().optional(),
  parts: z.array(z.object({ key: z.string(), digest: z.string() })),
});

export function formatRecord(record: ConfigurationRecord): string {
  return JSON.stringify(record);
}

/** Reads a record; `key` names it in errors. */
export function parseRecord(
  key: string,
  value: string,
): Result<ConfigurationRecord, InvalidFile> {
  const checked = recordSchema.safeParse(parseJson(value));
  if (checked.success) return ok(checked.data);
  return err(new InvalidFile(key, "value", "is no configuration record"));
}

export function digestOf(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

function parseJson(value: string): unknown {
  try {
    return JSON.parse(value);
  } catch {
    return undefined;
  }
}
