/** Fleets of processes on loopback. */
export * from "./fleet.ts";
export { type Child, type Command, startChild } from "./process.ts";
export * from "./ports.ts";
export * from "./settings_files.ts";
export * from "./usage.ts";
export * from "./side_standins.ts";
export * from "./closed_loop.ts";
export * from "./counters.ts";
export * from "./starts.ts";
