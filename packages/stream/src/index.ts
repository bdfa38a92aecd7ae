/** Frame streams between entries and sides. */
export * from "./stream.ts";
export * from "./dial.ts";
export * from "./listen.ts";
