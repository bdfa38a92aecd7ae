/** The coltsfootreach binary, without its process. */
export * from "./cli.ts";
export * from "./context.ts";
