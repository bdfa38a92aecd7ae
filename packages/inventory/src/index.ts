/** The operators' inventory and rules, read, written and imported. */
export * from "./edit.ts";
export * from "./format.ts";
export * from "./parse.ts";
export * from "./parser.ts";
export * from "./register.ts";
export * from "./schema.ts";
export * from "./split.ts";
