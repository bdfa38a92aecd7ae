/** When an entry may act for the keys of another. */
export * from "./registry.ts";
export * from "./settlement.ts";
