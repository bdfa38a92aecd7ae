/** Jobs, runs of their tasks, and what entries and sides say about them. */
export * from "./job.ts";
export * from "./queue_table.ts";
export * from "./server.ts";
export * from "./frame.ts";
export * from "./frame_check.ts";
export * from "./timing.ts";
