/** Ranges of keys in the keyspace. */
import type { KeyRange } from "./keyspace.ts";

const LAST_UNIT = 0xffff;

/** The range that holds every key with a prefix. */
export function rangeOfPrefix(prefix: string): KeyRange {
  for (let at = prefix.length - 1; at >= 0; at--) {
    const unit = prefix.charCodeAt(at);
    if (unit < LAST_UNIT) {
      const end = prefix.slice(0, at) + String.fromCharCode(unit + 1);
      return { start: prefix, end };
    }
  }
  return { start: prefix };
}
