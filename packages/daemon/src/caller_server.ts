/** Serves the HTTP API for callers of an entry. */
import type { AddressInfo } from "node:net";
import { createAdaptorServer, type ServerType } from "@hono/node-server";
import type { ConfigurationLookup } from "@coltsfootreach/configure";
import type { Entry } from "@coltsfootreach/entry";
import type { Metrics } from "@coltsfootreach/measure";
import { createCallerApp } from "@coltsfootreach/serve";
import { type EntrySettings, formatAddress } from "@coltsfootreach/settings";

/** Deadline of every class until a configuration is known. */
const DEFAULT_DEADLINE_MS = 30_000;

/** Time allowed for open connections to finish before `close` resolves. */
const CLOSE_GRACE_MS = 2000;

export interface CallerServer {
  /** Listen address as `IP:port`. */
  readonly address: string;
  /** Stops accepting connections and waits for responses in progress. */
  close(): Promise<void>;
}

export interface CallerServerDependencies {
  readonly entry: Entry;
  readonly estate: ConfigurationLookup;
  readonly metrics: Metrics;
}

/** Starts the server; rejects if it cannot listen on the address. */
export async function serveCallers(
  { limits, listen }: EntrySettings,
  { entry, estate, metrics }: CallerServerDependencies,
): Promise<CallerServer> {
  const app = createCallerApp({
    jobService: {
      request: (job, ask) => entry.request(job, ask),
      isReady: () => entry.isReady(),
      metrics: () => metrics.text(entry.counts()),
      answered: (submission) => metrics.answered(submission),
    },
    bodyBytes: limits.bodyBytes,
    tasks: limits.tasks,
    keyLength: limits.keyLength,
    deadlineMsOf: (name) =>
      estate.isKnown()
        ? estate.requestClass(name)?.deadlineMs
        : DEFAULT_DEADLINE_MS,
    isKnownTenant: (name) =>
      !estate.isKnown() || estate.tenant(name) !== undefined,
  });
  const server = createAdaptorServer({
    fetch: app.fetch,
    serverOptions: { maxHeaderSize: limits.headerBytes },
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(listen.port, listen.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: formatAddress({ host: listen.host, port }),
    close: () => closeServer(server),
  };
}

function closeServer(server: ServerType): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    if ("closeIdleConnections" in server) server.closeIdleConnections();
    setTimeout(resolve, CLOSE_GRACE_MS).unref();
  });
}
