/** Runs an entry from its settings. */
import { startEntry } from "@coltsfootreach/entry";
import { createLog, type Log } from "@coltsfootreach/log";
import { createMetrics } from "@coltsfootreach/measure";
import type { EntrySettings } from "@coltsfootreach/settings";
import { createEtcdStore } from "@coltsfootreach/store";
import { serveCallers } from "./caller_server.ts";
import { createEntryOptions, createFollowed } from "./entry_options.ts";
import { serveOperators } from "./management.ts";
import { stopOnSignal } from "./signals.ts";

/** Silence after which a watch of the store is opened again. */
const WATCH_SILENT_MS = 15 * 60_000;

export async function runEntry(settings: EntrySettings): Promise<void> {
  const log = createEntryLog(settings);
  const store = createEtcdStore({
    endpoints: settings.store.endpoints,
    timeoutMs: settings.store.timeoutMs,
    watchSilentMs: WATCH_SILENT_MS,
  });
  const metrics = createMetrics();
  const followed = createFollowed();
  const { holder, estate } = followed;
  const options = createEntryOptions(settings, { ...followed, store, log });
  const entry = await startEntry(options);
  const callers = await serveCallers(settings, { entry, estate, metrics });
  log.info("listening for callers", { address: callers.address });
  const operators = await serveOperators(settings, { entry, holder, metrics });
  stopOnSignal(async () => {
    await entry.stop();
    await callers.close();
    await operators?.close();
    await store.close();
  });
}

function createEntryLog({ name, log, management }: EntrySettings): Log {
  return createLog({
    role: "entry",
    name,
    incarnation: "",
    level: log.level,
    secrets: management === undefined ? [] : [management.token],
  });
}
