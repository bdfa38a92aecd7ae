/**
 * Content-defined chunking of a long configuration text. Each part fits into a
 * value of the key-value service and is parsed in little time. Boundaries are
 * chosen by content and lie before a TOML table, so that an edit changes only
 * the part that contains it.
 */
import { Buffer } from "node:buffer";
import murmurhash from "murmurhash";

/** Content boundaries are used only once a part has reached this size. */
export const MIN_PART_BYTES = 32 * 1024;

/** The service accepts values up to a megabyte; this leaves a margin. */
export const MAX_PART_BYTES = 512 * 1024;

/** On average, one table in this many starts at a part boundary. */
const BOUNDARY_MODULUS = 512;

/** Splits a text into parts; joined in order, they equal the text. */
export function splitConfigurationText(text: string): readonly string[] {
  const parts: string[] = [];
  let partStart = 0;
  let partBytes = 0;
  let tableStart = 0;
  while (tableStart < text.length) {
    const tableEnd = findNextTable(text, tableStart + 1);
    const tableBytes = Buffer.byteLength(text.slice(tableStart, tableEnd));
    const isFull = partBytes + tableBytes > MAX_PART_BYTES;
    const isAtBoundary = partBytes >= MIN_PART_BYTES &&
      isPartBoundary(text, tableStart);
    if (partBytes > 0 && (isFull || isAtBoundary)) {
      parts.push(text.slice(partStart, tableStart));
      partStart = tableStart;
      partBytes = 0;
    }
    partBytes += tableBytes;
    tableStart = tableEnd;
  }
  parts.push(text.slice(partStart));
  return parts;
}

/** Returns the offset of the next table's header, or the end of the text. */
function findNextTable(text: string, from: number): number {
  const found = text.indexOf("\n[", from - 1);
  return found < 0 ? text.length : found + 1;
}

/** Hashes the line after the table's header, which holds the table's name. */
function isPartBoundary(text: string, tableStart: number): boolean {
  const nameStart = text.indexOf("\n", tableStart) + 1;
  const nameEnd = text.indexOf("\n", nameStart);
  const name = text.slice(nameStart, nameEnd);
  return murmurhash.v3(name) % BOUNDARY_MODULUS === 0;
}
