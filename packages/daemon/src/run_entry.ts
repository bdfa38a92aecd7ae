/** Runs an entry from its settings. */
import { serve, type ServerType } from "@hono/node-server";
import { startEntry } from "@coltsfootreach/entry";
import { createTenantQueue } from "@coltsfootreach/limit";
import { createLog } from "@coltsfootreach/log";
import { createMetrics } from "@coltsfootreach/measure";
import { createPlacement } from "@coltsfootreach/place";
import { createApp } from "@coltsfootreach/serve";
import { type EntrySettings, formatAddress } from "@coltsfootreach/settings";
import { createEtcdStore } from "@coltsfootreach/store";
import { readCredentials } from "./credentials.ts";
import { stopOnSignal } from "./signals.ts";

/** How long tasks on a lost side are waited for. */
const DOUBT_MS = 10_000;

/** How long after its deadline a started task is waited for. */
const OVERDUE_MS = 60_000;

/** How long a job known by evidence alone waits for its resubmission. */
const ORPHAN_MS = 30_000;

/** Most requests that wait for a takeover to settle. */
const MAX_HELD = 50_000;

/** Silence after which a watch of the store is opened again. */
const WATCH_SILENT_MS = 15 * 60_000;

/** Deadline of a class while no configuration names it. */
const DEFAULT_DEADLINE_MS = 30_000;

/** Time that callers' connections get to take their last answers. */
const CLOSE_GRACE_MS = 2000;

const MS_PER_SECOND = 1000;

export async function runEntry(settings: EntrySettings): Promise<void> {
  const { limits, timeouts } = settings;
  const log = createLog({
    role: "entry",
    name: settings.name,
    incarnation: "",
    level: settings.log.level,
    secrets: settings.management === undefined
      ? []
      : [settings.management.token],
  });
  const store = createEtcdStore({
    endpoints: settings.store.endpoints,
    timeoutMs: settings.store.timeoutMs,
    watchSilentMs: WATCH_SILENT_MS,
  });
  const metrics = createMetrics();
  const entry = await startEntry({
    name: settings.name,
    dataCentre: settings.dataCentre,
    listen: formatAddress(settings.link.listen),
    advertise: settings.link.advertise,
    store,
    prefix: settings.store.prefix,
    leaseSeconds: timeouts.leaseMs / MS_PER_SECOND,
    freshnessMs: timeouts.freshnessMs,
    heartbeatMs: timeouts.heartbeatMs,
    sideLostMs: timeouts.sideLostMs,
    doubtMs: DOUBT_MS,
    drainMs: timeouts.drainMs,
    maxHeld: MAX_HELD,
    records: {
      windowMs: limits.recordWindowMs,
      skewMs: limits.skewMs,
      maxRecords: limits.jobs,
      overdueMs: OVERDUE_MS,
      orphanMs: ORPHAN_MS,
    },
    createQueue: () => createTenantQueue(),
    createPolicy: () =>
      createPlacement(settings.placement, { random: Math.random }),
    credentials: readCredentials(settings.tls),
    log,
  });
  const app = createApp({
    desk: {
      request: (job, ask) => entry.request(job, ask),
      isReady: () => entry.isReady(),
      metrics: () => metrics.text(entry.counts()),
      answered: (done) => metrics.answered(done),
    },
    bodyBytes: limits.bodyBytes,
    tasks: limits.tasks,
    keyLength: limits.keyLength,
    deadlineMsOf: () => DEFAULT_DEADLINE_MS,
    isTenant: () => true,
  });
  const { host: hostname, port } = settings.listen;
  const server = serve({ fetch: app.fetch, hostname, port }, (address) => {
    log.info("listening for callers", {
      address: formatAddress({ host: hostname, port: address.port }),
    });
  });
  stopOnSignal(async () => {
    await entry.stop();
    await closeServer(server);
    await store.close();
  });
}

/** Lets answers that are being written reach their callers. */
function closeServer(server: ServerType): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    if ("closeIdleConnections" in server) server.closeIdleConnections();
    setTimeout(resolve, CLOSE_GRACE_MS).unref();
  });
}
