/** Decides which runs a side starts, keeps and stops on its backend server. */
export * from "./calls.ts";
export * from "./effect.ts";
export * from "./worker_core.ts";
export * from "./slowness_estimator.ts";
export * from "./circuit_breaker.ts";
export type { WorkerOptions } from "./worker_state.ts";
