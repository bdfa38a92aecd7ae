/** The side process. */
export * from "./side.ts";
