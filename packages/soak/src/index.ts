/** Soak tests of the real program's invariants under external faults. */
export * from "./soak.ts";
export * from "./sizes.ts";
