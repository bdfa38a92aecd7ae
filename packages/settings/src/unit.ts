/**
 * Durations and sizes with units, as settings and inventories write them:
 * "250ms", "3s", "10m", "64MB". Durations are kept in milliseconds and sizes
 * in bytes.
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

const QUANTITY = /^(\d+(?:\.\d+)?)\s*([A-Za-z]*)$/;

/** Parses a duration such as "250ms"; undefined when it is none. */
export function parseDuration(text: string): number | undefined {
  return parseQuantity(text, MS_PER_UNIT);
}

/** Parses a size such as "64MB"; undefined when it is none. */
export function parseSize(text: string): number | undefined {
  return parseQuantity(text, BYTES_PER_UNIT);
}

/** Writes milliseconds in the largest unit that keeps them whole. */
export function formatDuration(ms: number): string {
  return formatQuantity(ms, MS_PER_UNIT);
}

/** Writes bytes in the largest unit that keeps them whole. */
export function formatSize(bytes: number): string {
  return formatQuantity(bytes, BYTES_PER_UNIT);
}

/** A duration longer than zero, in milliseconds. */
export function duration() {
  return quantity("duration", MS_PER_UNIT)
    .refine((ms) => ms > 0, "must be longer than zero");
}

/** A duration of zero or more, in milliseconds. */
export function delay() {
  return quantity("duration", MS_PER_UNIT);
}

/** A size greater than zero, in bytes. */
export function size() {
  return quantity("size", BYTES_PER_UNIT)
    .refine((bytes) => bytes > 0, "must be greater than zero");
}

function quantity(noun: string, units: ReadonlyMap<string, number>) {
  return z.string().transform((text, context) => {
    const value = parseQuantity(text, units);
    if (value !== undefined) return value;
    context.addIssue({
      code: "custom",
      message: `"${text}" is no ${noun}; write a number and one of ${
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
  const match = QUANTITY.exec(text.trim());
  const factor = units.get(match?.[2] ?? "");
  if (match === null || factor === undefined) return undefined;
  return Number(match[1]) * factor;
}

function formatQuantity(
  value: number,
  units: ReadonlyMap<string, number>,
): string {
  const largest = [...units].reverse()
    .find(([, factor]) => value >= factor && value % factor === 0);
  const [unit, factor] = largest ?? [...units][0]!;
  return `${value / factor}${unit}`;
}
