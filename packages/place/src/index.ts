/** Placement policies behind one interface. */
export * from "./policy.ts";
export * from "./least_outstanding.ts";
