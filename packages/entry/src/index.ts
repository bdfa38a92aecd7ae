/** The entry process. */
export * from "./entry.ts";
export * from "./types.ts";
export * from "./tenant_tops.ts";
export * from "./view.ts";
