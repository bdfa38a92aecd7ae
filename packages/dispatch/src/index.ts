/** Decisions of an entry about the jobs that its callers hand in. */
export * from "./answer.ts";
export * from "./dispatcher.ts";
export * from "./effect.ts";
export * from "./objective.ts";
export * from "./placement.ts";
export * from "./refusal.ts";
export * from "./patience.ts";
