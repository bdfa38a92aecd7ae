/** Streams of frames between the system's processes. */
export * from "./stream.ts";
export * from "./server.ts";
export * from "./dial.ts";
export * from "./outbox.ts";
