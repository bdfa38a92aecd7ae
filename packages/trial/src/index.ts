/** Compares placement policies under a fake clock. */
export * from "./policies.ts";
export * from "./profile.ts";
export * from "./report.ts";
export * from "./run_trial.ts";
export * from "./scenario.ts";
export * from "./random.ts";
export * from "./workload.ts";
