/** JSON-line logs. */
export * from "./log.ts";
export * from "./redact.ts";
