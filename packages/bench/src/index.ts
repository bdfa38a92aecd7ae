/** Measures a fleet of daemons under load. */
export * from "./open_loop.ts";
export * from "./run_bench.ts";
export * from "./throughput.ts";
export * from "./waste.ts";
