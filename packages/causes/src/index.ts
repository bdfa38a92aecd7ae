/** Causes of jobs that were not answered in time. */
export * from "./cause.ts";
export * from "./log_lines.ts";
