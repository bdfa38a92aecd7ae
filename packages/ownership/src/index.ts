/** Who owns a job key, and how long a side may rely on that. */
export * from "./owner.ts";
export * from "./change.ts";
export * from "./freshness.ts";
