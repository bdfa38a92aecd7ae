/** Holds the real programs to the promises under faults from outside. */
export * from "./soak.ts";
export * from "./sizes.ts";
