/** The callers' HTTP interface. */
export * from "./app.ts";
export * from "./body.ts";
