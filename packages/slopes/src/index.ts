/** Slopes of cost, and the capacity page that is worked out from them. */
export * from "./fit.ts";
export * from "./series.ts";
