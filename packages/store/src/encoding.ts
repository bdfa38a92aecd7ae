/**
 * The encodings of the JSON gateway: keys and values travel as base64 and
 * 64-bit integers as strings.
 */

const MAX_BYTE = 0xff;

export function encodeText(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

export function decodeText(encoded: string): string {
  return Buffer.from(encoded, "base64").toString("utf8");
}

/** A half-open range of keys in base64, as the service expects it. */
export interface KeyRange {
  readonly key: string;
  readonly range_end: string;
}

/** The range that holds every key with a prefix. */
export function prefixRange(prefix: string): KeyRange {
  const start = Buffer.from(prefix, "utf8");
  const end = successor(start);
  const from = start.length === 0 ? Buffer.from([0]) : start;
  return { key: from.toString("base64"), range_end: end.toString("base64") };
}

/** The first key after all keys with a prefix; a zero byte means no end. */
function successor(prefix: Buffer): Buffer {
  const last = prefix.findLastIndex((byte) => byte < MAX_BYTE);
  if (last < 0) {
    return Buffer.from([0]);
  }
  const end = Buffer.from(prefix.subarray(0, last + 1));
  end[last] = (end[last] ?? 0) + 1;
  return end;
}
