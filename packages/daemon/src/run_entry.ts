/** Runs an entry from its settings. */
import { serve, type ServerType } from "@hono/node-server";
import {
  type ConfigurationHolder,
  createConfigurationHolder,
  createEstateLookup,
} from "@coltsfootreach/configure";
import {
  assembleTenantTops,
  createEntryView,
  type Entry,
  startEntry,
} from "@coltsfootreach/entry";
import { createEstateParser } from "@coltsfootreach/inventory";
import {
  createManagementApp,
  type ManagementServer,
  serveManagement,
} from "@coltsfootreach/manage";
import { createTenantQueue } from "@coltsfootreach/limit";
import { createLog } from "@coltsfootreach/log";
import { createMetrics, type Metrics } from "@coltsfootreach/measure";
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
  const parser = createEstateParser();
  const holder = createConfigurationHolder({ parse: parser.parse });
  const estate = createEstateLookup(holder);
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
    maxActs: limits.acts,
    holder,
    prepareConfiguration: parser.prepare,
    createQueue: () =>
      createTenantQueue({
        weightOf: (tenant) => estate.tenant(tenant)?.weight ?? 1,
      }),
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
    deadlineMsOf: (name) =>
      estate.isKnown()
        ? estate.requestClass(name)?.deadlineMs
        : DEFAULT_DEADLINE_MS,
    isTenant: (name) => !estate.isKnown() || estate.tenant(name) !== undefined,
  });
  const { host: hostname, port } = settings.listen;
  const server = serve({ fetch: app.fetch, hostname, port }, (address) => {
    log.info("listening for callers", {
      address: formatAddress({ host: hostname, port: address.port }),
    });
  });
  const management = await manage({ settings, entry, holder, metrics });
  stopOnSignal(async () => {
    await entry.stop();
    await closeServer(server);
    await management?.close();
    await store.close();
  });
}

interface Managed {
  readonly settings: EntrySettings;
  readonly entry: Entry;
  readonly holder: ConfigurationHolder;
  readonly metrics: Metrics;
}

/** The operators' interface; undefined while settings leave it off. */
async function manage(managed: Managed): Promise<ManagementServer | undefined> {
  const { settings, entry, holder, metrics } = managed;
  const { management } = settings;
  if (management === undefined) return undefined;
  const view = createEntryView({
    name: settings.name,
    incarnation: () => entry.incarnation(),
    core: () => entry.core(),
    holder,
    journal: entry.journal,
    store: () => entry.storeStatus(),
    newestVersion: () => entry.newestVersion(),
    tenants: () =>
      assembleTenantTops(metrics.flows(), entry.core().records.open()),
  });
  const app = createManagementApp({ view, token: management.token });
  return await serveManagement(app, management.listen);
}

/** Lets answers that are being written reach their callers. */
function closeServer(server: ServerType): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    if ("closeIdleConnections" in server) server.closeIdleConnections();
    setTimeout(resolve, CLOSE_GRACE_MS).unref();
  });
}
