/**
 * Cuts a long configuration text into parts that each fit a value of the
 * key-value service and are read in little time. Cuts are chosen by content
 * and fall before a TOML table, so that an edit changes the part that it falls
 * into and leaves the others as they are.
 */
import { Buffer } from "node:buffer";
import murmurhash from "murmurhash";

/** A cut is never made before a part has reached this size. */
export const SMALLEST_PART_BYTES = 32 * 1024;

/** The service holds values up to a megabyte; this leaves room to spare. */
export const LARGEST_PART_BYTES = 512 * 1024;

/** One table in so many is a place to cut. */
const CUT_EVERY = 512;

/** The parts in order; joined they are the text. */
export function splitText(text: string): readonly string[] {
  const parts: string[] = [];
  let start = 0;
  let bytes = 0;
  let from = 0;
  while (from < text.length) {
    const to = nextTable(text, from + 1);
    const tableBytes = Buffer.byteLength(text.slice(from, to));
    const full = bytes + tableBytes > LARGEST_PART_BYTES;
    const cut = bytes >= SMALLEST_PART_BYTES && isCut(text, from);
    if (bytes > 0 && (full || cut)) {
      parts.push(text.slice(start, from));
      start = from;
      bytes = 0;
    }
    bytes += tableBytes;
    from = to;
  }
  parts.push(text.slice(start));
  return parts;
}

/** Where the next table's header begins, or the end of the text. */
function nextTable(text: string, from: number): number {
  const found = text.indexOf("\n[", from - 1);
  return found < 0 ? text.length : found + 1;
}

/** The line after a table's header holds its name, so it tells tables apart. */
function isCut(text: string, header: number): boolean {
  const nameStart = text.indexOf("\n", header) + 1;
  const nameEnd = text.indexOf("\n", nameStart);
  const name = text.slice(nameStart, nameEnd);
  return murmurhash.v3(name) % CUT_EVERY === 0;
}
