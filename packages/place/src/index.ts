/** Placement policies, run time estimation and outlier ejection. */
export * from "./policy.ts";
export * from "./least_outstanding.ts";
export * from "./run_times.ts";
export * from "./expected_delay.ts";
export * from "./baselines.ts";
export * from "./health.ts";
export * from "./placement.ts";
