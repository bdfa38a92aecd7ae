/** Frame streams between entries and sides over gRPC. */
export type {
  Stream,
  StreamHandler,
  StreamListener,
} from "@coltsfootreach/stream";
export * from "./server.ts";
export * from "./dial.ts";
export * from "./outbox.ts";
