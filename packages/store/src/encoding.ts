/**
 * Encodings of the JSON gateway: keys and values are base64, and 64-bit
 * integers are strings.
 */

const MAX_BYTE = 0xff;

export function encodeBase64(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

export function decodeBase64(encoded: string): string {
  return Buffer.from(encoded, "base64").toString("utf8");
}

/** A half-open key range in base64, in the format of the gateway. */
export interface KeyRange {
  readonly key: string;
  readonly range_end: string;
}

/** The range of all keys with a prefix. */
export function prefixRange(prefix: string): KeyRange {
  const start = Buffer.from(prefix, "utf8");
  const end = prefixRangeEnd(start);
  const rangeStart = start.length === 0 ? Buffer.from([0]) : start;
  return {
    key: rangeStart.toString("base64"),
    range_end: end.toString("base64"),
  };
}

/** The first key after all keys with a prefix; a zero byte means unbounded. */
function prefixRangeEnd(prefix: Buffer): Buffer {
  const lastIncrementable = prefix.findLastIndex((byte) => byte < MAX_BYTE);
  if (lastIncrementable < 0) {
    return Buffer.from([0]);
  }
  const end = Buffer.from(prefix.subarray(0, lastIncrementable + 1));
  end[lastIncrementable] = (end[lastIncrementable] ?? 0) + 1;
  return end;
}
