/** HTTP API for operators and the journal of automatic actions. */
export * from "./app.ts";
export * from "./journal.ts";
export * from "./serve.ts";
export * from "./token.ts";
export * from "./view.ts";
