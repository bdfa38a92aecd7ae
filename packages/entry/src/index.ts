/** The entry process. */
export * from "./entry.ts";
