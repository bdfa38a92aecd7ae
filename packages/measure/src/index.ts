/** Counters and response-time histograms. */
export * from "./histograms.ts";
export * from "./flow.ts";
export * from "./metrics.ts";
