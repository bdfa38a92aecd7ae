/** The side's start guard and the evidence it keeps. */
export * from "./guard.ts";
export * from "./evidence.ts";
