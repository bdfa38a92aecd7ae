/** Job records: admission, resubmission, outcomes and answers. */
export * from "./age.ts";
export * from "./record.ts";
export * from "./records.ts";
