/** The process of the coltsfootreach binary. */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { v4 } from "uuid";
import { createEtcdStore } from "@coltsfootreach/store";
import { runCli } from "./cli.ts";

/** Commands do not watch, so a silent watch needs no early end. */
const WATCH_SILENT_MS = 600_000;

process.exitCode = await runCli(process.argv.slice(2), {
  env: process.env,
  out: (text) => void process.stdout.write(`${text}\n`),
  err: (text) => void process.stderr.write(`${text}\n`),
  connectStore: ({ endpoints, timeoutMs }) => {
    const store = createEtcdStore({
      endpoints,
      timeoutMs,
      watchSilentMs: WATCH_SILENT_MS,
    });
    return { store, close: store.close };
  },
  now: Date.now,
  sleep: (ms) => sleep(ms),
  newToken: v4,
});
