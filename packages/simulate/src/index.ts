/** Deterministic simulation of a fleet, with checks of its invariants. */
export * from "./checker.ts";
export * from "./clock.ts";
export * from "./simulation.ts";
export * from "./random.ts";
export * from "./server_standin.ts";
export * from "./load.ts";
export * from "./load_callers.ts";
