/** Streams of frames between the system's processes. */
export type {
  Stream,
  StreamHandler,
  StreamListener,
} from "@coltsfootreach/stream";
export * from "./server.ts";
export * from "./dial.ts";
export * from "./outbox.ts";
