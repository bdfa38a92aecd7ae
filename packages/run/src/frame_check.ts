/** Tells well-formed frames from whatever else a connection may carry. */
import type {
  Claim,
  DispatchFrame,
  Offer,
  RunNews,
  WorkFrame,
} from "./frame.ts";
import type { Resources, TaskRef } from "./job.ts";
import type { ServerReport } from "./server.ts";

type Fields = Readonly<Record<string, unknown>>;

export function isDispatchFrame(value: unknown): value is DispatchFrame {
  return isRecord(value) && value.kind === "dispatch" &&
    isNumber(value.sequence) &&
    isListOf(value.offers, isOffer) &&
    isListOf(value.stops, isRunRef) &&
    isOptional(value.claims, (claims) => isListOf(claims, isClaim)) &&
    isOptional(value.entries, isTexts) &&
    isOptional(value.entry, isText);
}

export function isWorkFrame(value: unknown): value is WorkFrame {
  return isRecord(value) && value.kind === "work" &&
    isNumber(value.seen) &&
    isListOf(value.news, isNews) &&
    isOptional(value.server, isReport) &&
    isOptional(value.side, isText) &&
    isOptional(value.dataCentre, isText);
}

function isOffer(value: unknown): value is Offer {
  return isRecord(value) && isTask(value.task) && isNumber(value.run) &&
    isText(value.payload) && isResources(value.resources) &&
    isNumber(value.estimateMs) && isText(value.server) && isNumber(value.born);
}

function isClaim(value: unknown): value is Claim {
  return isRecord(value) && isRunRef(value.ref) &&
    isResources(value.resources) && isNumber(value.estimateMs);
}

function isNews(value: unknown): value is RunNews {
  if (!isRecord(value) || !isRunRef(value.ref)) return false;
  switch (value.kind) {
    case "refused":
      return isText(value.reason) && isNumber(value.highestRun);
    case "ended":
      return isText(value.end) && isNumber(value.ms);
    case "lost":
      return isText(value.reason);
    default:
      return value.kind === "stalled";
  }
}

function isReport(value: unknown): value is ServerReport {
  return isRecord(value) && isText(value.id) && isNumber(value.born) &&
    isText(value.service) && isResources(value.capacity) &&
    isTexts(value.labels) && isResources(value.room) &&
    isFlag(value.isOpen) && isNumber(value.slowness) &&
    isFlag(value.isSuspect);
}

function isRunRef(value: unknown): boolean {
  return isRecord(value) && isTask(value.task) && isNumber(value.run);
}

function isTask(value: unknown): value is TaskRef {
  return isRecord(value) && isText(value.job) && isNumber(value.occurrence) &&
    isNumber(value.step) && isNumber(value.index);
}

function isResources(value: unknown): value is Resources {
  return isRecord(value) && isNumber(value.cpu) && isNumber(value.memoryMb) &&
    isNumber(value.gpu);
}

function isRecord(value: unknown): value is Fields {
  return typeof value === "object" && value !== null;
}

function isNumber(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value);
}

function isText(value: unknown): value is string {
  return typeof value === "string";
}

function isFlag(value: unknown): value is boolean {
  return typeof value === "boolean";
}

function isTexts(value: unknown): value is readonly string[] {
  return isListOf(value, isText);
}

function isListOf(value: unknown, isItem: (item: unknown) => boolean): boolean {
  return Array.isArray(value) && value.every(isItem);
}

function isOptional(
  value: unknown,
  isPresent: (value: unknown) => boolean,
): boolean {
  return value === undefined || isPresent(value);
}
