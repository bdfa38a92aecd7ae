/**
 * Durations and sizes with units, as used in settings and inventories: "250ms",
 * "3s", "10m", "64MB". They are parsed to milliseconds and bytes.
 */
import { z } from "zod";

const MS_PER_UNIT: ReadonlyMap<string, number> = new Map([
  ["ms", 1],
  ["s", 1_000],
  ["m", 60_000],
  ["h", 3_600_000],
]);

const BYTES_PER_UNIT: ReadonlyMap<string, number> = new Map([
  ["B", 1],
  ["KB", 1_024],
  ["MB", 1_048_576],
  ["GB", 1_073_741_824],
]);

const QUANTITY_PATTERN = /^(\d+(?:\.\d+)?)\s*([A-Za-z]*)$/;

/** Parses a duration such as "250ms"; undefined when it is invalid. */
export function parseDuration(text: string): number | undefined {
  return parseQuantity(text, MS_PER_UNIT);
}

/** Parses a size such as "64MB"; undefined when it is invalid. */
export function parseSize(text: string): number | undefined {
  return parseQuantity(text, BYTES_PER_UNIT);
}

/** Formats milliseconds in the largest unit that gives a whole number. */
export function formatDuration(ms: number): string {
  return formatQuantity(ms, MS_PER_UNIT);
}

/** Formats bytes in the largest unit that gives a whole number. */
export function formatSize(bytes: number): string {
  return formatQuantity(bytes, BYTES_PER_UNIT);
}

/** Parses a duration greater than zero to milliseconds. */
export function durationSchema() {
  return quantitySchema("duration", MS_PER_UNIT)
    .refine((ms) => ms > 0, "must be greater than zero");
}

/** Parses a duration of zero or more to milliseconds. */
export function delaySchema() {
  return quantitySchema("duration", MS_PER_UNIT);
}

/** Parses a size greater than zero to bytes. */
export function sizeSchema() {
  return quantitySchema("size", BYTES_PER_UNIT)
    .refine((bytes) => bytes > 0, "must be greater than zero");
}

function quantitySchema(kind: string, units: ReadonlyMap<string, number>) {
  return z.string().transform((text, context) => {
    const value = parseQuantity(text, units);
    if (value !== undefined) return value;
    context.addIssue({
      code: "custom",
      message:
        `"${text}" is not a valid ${kind}; expected a number and one of ${
          [...units.keys()].join(", ")
        }`,
    });
    return z.NEVER;
  });
}

function parseQuantity(
  text: string,
  units: ReadonlyMap<string, number>,
): number | undefined {
  const match = QUANTITY_PATTERN.exec(text.trim());
  const factor = units.get(match?.[2] ?? "");
  if (match === null || factor === undefined) return undefined;
  return Number(match[1]) * factor;
}

function formatQuantity(
  value: number,
  units: ReadonlyMap<string, number>,
): string {
  const largestUnit = [...units].reverse()
    .find(([, factor]) => value >= factor && value % factor === 0);
  const [unit, factor] = largestUnit ?? [...units][0]!;
  return `${value / factor}${unit}`;
}
