/** Random faults on a fleet of real processes, and the check of its promises. */
export * from "./act.ts";
export * from "./check.ts";
export * from "./relay.ts";
export * from "./schedule.ts";
export * from "./workload.ts";
