/** Plans, applies, stores and distributes configuration versions. */
export * from "./apply.ts";
export * from "./difference.ts";
export * from "./effect.ts";
export * from "./feed.ts";
export * from "./holder.ts";
export * from "./keys.ts";
export * from "./laggard.ts";
export * from "./lookup.ts";
export * from "./plan.ts";
export * from "./record.ts";
export * from "./repository.ts";
export * from "./version_times.ts";
