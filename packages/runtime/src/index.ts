/** The entry and side processes. */
export * from "./configuration.ts";
export * from "./decision_log.ts";
export * from "./entry_metrics.ts";
export * from "./entry_process.ts";
export * from "./membership.ts";
export * from "./ports.ts";
export * from "./side_process.ts";
export type { PendingAnswer } from "./submissions.ts";
