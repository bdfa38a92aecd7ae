/** Decisions of a side about its backend server. */
export * from "./calls.ts";
export * from "./effect.ts";
export * from "./worker_core.ts";
export * from "./slowness.ts";
export * from "./suspicion.ts";
