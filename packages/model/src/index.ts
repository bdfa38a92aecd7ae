/** Model checking of admission and takeover. */
export * from "./action.ts";
export * from "./explore.ts";
export * from "./mutations.ts";
export * from "./walk.ts";
export * from "./world.ts";
export * from "./worlds.ts";
