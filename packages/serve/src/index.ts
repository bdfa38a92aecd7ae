/** HTTP API for callers. */
export * from "./app.ts";
export * from "./body.ts";
