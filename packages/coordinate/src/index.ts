/** The state machine of an entry. */
export * from "./effect.ts";
export * from "./requests.ts";
export * from "./candidates.ts";
export * from "./sides.ts";
export * from "./entry_core.ts";
export * from "./lateness.ts";
