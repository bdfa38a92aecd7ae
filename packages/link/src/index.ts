/** Streams of frames between the system's processes. */
export type { Accept, Stream, StreamListener } from "@coltsfootreach/stream";
export * from "./server.ts";
export * from "./dial.ts";
export * from "./outbox.ts";
