/** Read-only data shared by every process of the system. */
export * from "./verdict.ts";
export * from "./job.ts";
export * from "./table.ts";
export * from "./server.ts";
export * from "./message.ts";
export * from "./estate.ts";
