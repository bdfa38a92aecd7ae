/** Plays a fleet on a clock of its own and checks its promises. */
export * from "./checker.ts";
export * from "./clock.ts";
export * from "./play.ts";
export * from "./random.ts";
export * from "./server_standin.ts";
