/** The platform's key-value service as the system uses it. */
export * from "./store.ts";
