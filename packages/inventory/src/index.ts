/** Parses, formats and imports the operators' inventory and rules. */
export * from "./edit.ts";
export * from "./format.ts";
export * from "./parse.ts";
export * from "./parser.ts";
export * from "./register.ts";
export * from "./schema.ts";
export * from "./split.ts";
