/** A harness over the decision cores, shared by model and scenarios. */
export * from "./agenda.ts";
export * from "./checker.ts";
export * from "./harness.ts";
export * from "./random.ts";
export * from "./settings.ts";
