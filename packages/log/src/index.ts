/** Structured logging as JSON lines. */
export * from "./line_writer.ts";
export * from "./log.ts";
export * from "./redact.ts";
