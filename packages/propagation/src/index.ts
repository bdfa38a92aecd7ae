/** Measures how fast configuration versions come into force. */
export * from "./version_log.ts";
export * from "./delay.ts";
