/**
 * The part of the etcd JSON gateway's requests that the stand-in understands.
 * Keys are kept as byte strings, so that their order is that of their bytes.
 */
import { z } from "zod";
import type { KeyRange, Pair } from "./keyspace.ts";

const integer = z.union([z.string(), z.number()]).transform(Number);
const bytes = z.string().transform(decodeBytes);

const range = z.object({ key: bytes, range_end: bytes.optional() });

export const rangeRequest = range;

export const swapRequest = z.object({
  compare: z.array(z.object({
    key: bytes,
    target: z.literal("MOD"),
    result: z.literal("EQUAL").default("EQUAL"),
    mod_revision: integer.default(0),
  })).length(1),
  success: z.array(z.object({
    request_put: z.object({
      key: bytes,
      value: bytes.default(""),
      lease: z.string().optional(),
    }).optional(),
    request_delete_range: range.optional(),
  })).length(1),
});

export const grantRequest = z.object({ TTL: integer });

export const leaseRequest = z.object({ ID: z.string() });

export const watchRequest = z.object({
  create_request: range.extend({
    start_revision: integer.default(0),
    progress_notify: z.boolean().default(false),
  }),
});

export type SwapRequest = z.infer<typeof swapRequest>;
export type WatchRequest = z.infer<typeof watchRequest>["create_request"];

const NO_END = "\0";

/** The keys that a request asks for; without an end, the one key. */
export function toKeyRange(
  { key, range_end }: z.infer<typeof range>,
): KeyRange {
  switch (range_end) {
    case undefined:
      return { start: key, end: `${key}\0` };
    case NO_END:
      return { start: key };
    default:
      return { start: key, end: range_end };
  }
}

export function toWirePair(pair: Pair) {
  return {
    key: encodeBytes(pair.key),
    create_revision: String(pair.createRevision),
    mod_revision: String(pair.revision),
    version: String(pair.version),
    value: encodeBytes(pair.value),
    ...(pair.lease === undefined ? {} : { lease: pair.lease }),
  };
}

export function encodeBytes(text: string): string {
  return Buffer.from(text, "latin1").toString("base64");
}

function decodeBytes(encoded: string): string {
  return Buffer.from(encoded, "base64").toString("latin1");
}
