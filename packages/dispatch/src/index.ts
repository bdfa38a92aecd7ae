/** Job admission and task placement for an entry. */
export * from "./answer.ts";
export * from "./dispatcher.ts";
export * from "./effect.ts";
export * from "./objective.ts";
export * from "./placement.ts";
export * from "./refusal.ts";
export * from "./caller_age.ts";
export * from "./reserve.ts";
