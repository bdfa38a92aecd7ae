/**
 * The stored record of one configuration version in the key-value service.
 * A short text is stored inline, a long one in parts under separate keys.
 */
import { createHash } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { InvalidFile } from "@coltsfootreach/errors";

/** Refers to one part of a long text. */
export interface PartReference {
  readonly key: string;
  readonly digest: string;
}

export interface ConfigurationRecord {
  readonly version: number;
  /** Unique to each change; identifies the write that took effect. */
  readonly token: string;
  readonly author: string;
  /** On the author's clock, in Unix milliseconds. */
  readonly atMs: number;
  readonly note: string;
  /** SHA-256 of the whole text. */
  readonly digest: string;
  /** Absent when the text is stored in parts. */
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

/** Parses a record; errors name `key` as the source. */
export function parseRecord(
  key: string,
  value: string,
): Result<ConfigurationRecord, InvalidFile> {
  const parsed = recordSchema.safeParse(parseJson(value));
  if (parsed.success) return ok(parsed.data);
  return err(
    new InvalidFile(key, "value", "is not a valid configuration record"),
  );
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
