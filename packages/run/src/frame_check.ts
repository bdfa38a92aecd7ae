/** Type guards that validate frames received over a connection. */
import type {
  Claim,
  DispatchFrame,
  Offer,
  RunUpdate,
  WorkFrame,
} from "./frame.ts";
import type { Resources, TaskRef } from "./job.ts";
import type { ServerReport } from "./server.ts";

type UnknownRecord = Readonly<Record<string, unknown>>;

export function isDispatchFrame(value: unknown): value is DispatchFrame {
  return isRecord(value) && value.kind === "dispatch" &&
    isNumber(value.sequence) &&
    isArrayOf(value.offers, isOffer) &&
    isArrayOf(value.stops, isRunRef) &&
    isOptional(value.claims, (claims) => isArrayOf(claims, isClaim)) &&
    isOptional(value.entries, isStringArray) &&
    isOptional(value.entry, isString);
}

export function isWorkFrame(value: unknown): value is WorkFrame {
  return isRecord(value) && value.kind === "work" &&
    isNumber(value.seen) &&
    isArrayOf(value.news, isRunUpdate) &&
    isOptional(value.server, isServerReport) &&
    isOptional(value.side, isString) &&
    isOptional(value.dataCentre, isString);
}

function isOffer(value: unknown): value is Offer {
  return isRecord(value) && isTaskRef(value.task) && isNumber(value.run) &&
    isString(value.payload) && isResources(value.resources) &&
    isNumber(value.estimateMs) && isString(value.server) &&
    isNumber(value.born);
}

function isClaim(value: unknown): value is Claim {
  return isRecord(value) && isRunRef(value.ref) &&
    isResources(value.resources) && isNumber(value.estimateMs);
}

function isRunUpdate(value: unknown): value is RunUpdate {
  if (!isRecord(value) || !isRunRef(value.ref)) return false;
  switch (value.kind) {
    case "refused":
      return isString(value.reason) && isNumber(value.highestRun);
    case "ended":
      return isString(value.end) && isNumber(value.ms);
    case "lost":
      return isString(value.reason);
    default:
      return value.kind === "stalled";
  }
}

function isServerReport(value: unknown): value is ServerReport {
  return isRecord(value) && isString(value.id) && isNumber(value.born) &&
    isString(value.service) && isResources(value.capacity) &&
    isStringArray(value.labels) && isResources(value.room) &&
    isBoolean(value.isOpen) && isNumber(value.slowness) &&
    isBoolean(value.isSuspect);
}

function isRunRef(value: unknown): boolean {
  return isRecord(value) && isTaskRef(value.task) && isNumber(value.run);
}

function isTaskRef(value: unknown): value is TaskRef {
  return isRecord(value) && isString(value.job) && isNumber(value.occurrence) &&
    isNumber(value.step) && isNumber(value.index);
}

function isResources(value: unknown): value is Resources {
  return isRecord(value) && isNumber(value.cpu) && isNumber(value.memoryMb) &&
    isNumber(value.gpu);
}

function isRecord(value: unknown): value is UnknownRecord {
  return typeof value === "object" && value !== null;
}

function isNumber(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value);
}

function isString(value: unknown): value is string {
  return typeof value === "string";
}

function isBoolean(value: unknown): value is boolean {
  return typeof value === "boolean";
}

function isStringArray(value: unknown): value is readonly string[] {
  return isArrayOf(value, isString);
}

function isArrayOf(
  value: unknown,
  isItem: (item: unknown) => boolean,
): boolean {
  return Array.isArray(value) && value.every(isItem);
}

function isOptional(
  value: unknown,
  isValid: (value: unknown) => boolean,
): boolean {
  return value === undefined || isValid(value);
}
