/** Read-only data types shared by all processes of the system. */
export * from "./verdict.ts";
export * from "./job.ts";
export * from "./table.ts";
export * from "./server.ts";
export * from "./message.ts";
export * from "./estate.ts";
