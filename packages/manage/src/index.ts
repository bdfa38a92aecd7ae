/** The operators' HTTP interface and the journal of automatic acts. */
export * from "./app.ts";
export * from "./journal.ts";
export * from "./serve.ts";
export * from "./token.ts";
export * from "./view.ts";
