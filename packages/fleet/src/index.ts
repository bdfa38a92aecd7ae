/** Fleets of processes on loopback. */
export * from "./fleet.ts";
export { findFreePorts } from "./ports.ts";
export { type Child, startChild } from "./process.ts";
