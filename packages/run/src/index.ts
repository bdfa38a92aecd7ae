/** Jobs, task runs, and the frames that entries and sides exchange. */
export * from "./address.ts";
export * from "./job.ts";
export * from "./queue_table.ts";
export * from "./server.ts";
export * from "./frame.ts";
export * from "./frame_check.ts";
export * from "./timing.ts";
