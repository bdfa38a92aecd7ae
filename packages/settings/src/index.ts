/** Settings of daemons and operators, and validated reading of TOML files. */
export * from "./address.ts";
export * from "./document.ts";
export * from "./entry.ts";
export * from "./operator.ts";
export * from "./read.ts";
export * from "./section.ts";
export * from "./side.ts";
export * from "./unit.ts";
