/**
 * Cuts a long text into parts that each fit a value of the key-value service.
 * Cuts are chosen by content and fall before a TOML table, so that an edit
 * changes the part that it falls into and leaves the others as they are.
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
  const lines = text.split(/(?<=\n)/);
  const parts: string[] = [];
  let part: string[] = [];
  let bytes = 0;
  for (const [position, line] of lines.entries()) {
    const lineBytes = Buffer.byteLength(line);
    const full = bytes + lineBytes > LARGEST_PART_BYTES;
    const cut = bytes >= SMALLEST_PART_BYTES &&
      isCut(line, lines[position + 1] ?? "");
    if (part.length > 0 && (full || cut)) {
      parts.push(part.join(""));
      part = [];
      bytes = 0;
    }
    part.push(line);
    bytes += lineBytes;
  }
  parts.push(part.join(""));
  return parts;
}

/** The line after a table's header holds its name, so it tells tables apart. */
function isCut(line: string, next: string): boolean {
  return line.startsWith("[") && murmurhash.v3(next) % CUT_EVERY === 0;
}
