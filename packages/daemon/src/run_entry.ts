/** Starts an entry process with its settings. */
import { startEntry } from "@coltsfootreach/entry";
import { createLog, type Log } from "@coltsfootreach/log";
import { createMetrics } from "@coltsfootreach/measure";
import type { EntrySettings } from "@coltsfootreach/settings";
import { createEtcdStore } from "@coltsfootreach/store";
import { serveCallers } from "./caller_server.ts";
import {
  createEntryConfiguration,
  createEntryOptions,
} from "./entry_options.ts";
import { serveOperators } from "./management.ts";
import { setShutdownHandler } from "./signals.ts";

/** A store watch without any message for this long is opened again. */
const WATCH_IDLE_TIMEOUT_MS = 15 * 60_000;

export async function runEntry(settings: EntrySettings): Promise<void> {
  const log = createEntryLog(settings);
  const store = createEtcdStore({
    endpoints: settings.store.endpoints,
    timeoutMs: settings.store.timeoutMs,
    watchSilentMs: WATCH_IDLE_TIMEOUT_MS,
  });
  const metrics = createMetrics();
  const entryConfiguration = createEntryConfiguration();
  const { holder, estate } = entryConfiguration;
  const options = createEntryOptions(settings, {
    ...entryConfiguration,
    store,
    log,
  });
  const entry = await startEntry(options);
  const callerServer = await serveCallers(settings, { entry, estate, metrics });
  log.info("listening for callers", { address: callerServer.address });
  const operatorServer = await serveOperators(settings, {
    entry,
    holder,
    metrics,
  });
  setShutdownHandler(async () => {
    await entry.stop();
    await callerServer.close();
    await operatorServer?.close();
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
