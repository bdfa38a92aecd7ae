/** Fleets of processes on loopback. */
export * from "./fleet.ts";
export type { Child } from "./process.ts";
