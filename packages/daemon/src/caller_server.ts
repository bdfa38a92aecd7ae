/** Serves the callers' HTTP interface of an entry. */
import type { AddressInfo } from "node:net";
import { createAdaptorServer, type ServerType } from "@hono/node-server";
import type { EstateLookup } from "@coltsfootreach/configure";
import type { Entry } from "@coltsfootreach/entry";
import type { Metrics } from "@coltsfootreach/measure";
import { createApp } from "@coltsfootreach/serve";
import { type EntrySettings, formatAddress } from "@coltsfootreach/settings";

/** Deadline of a class while no configuration names it. */
const DEFAULT_DEADLINE_MS = 30_000;

/** Time that callers' connections get to take their last answers. */
const CLOSE_GRACE_MS = 2000;

export interface CallerServer {
  /** Where it listens, as `IP:port`. */
  readonly address: string;
  /** Lets answers that are being written reach their callers. */
  close(): Promise<void>;
}

export interface Served {
  readonly entry: Entry;
  readonly estate: EstateLookup;
  readonly metrics: Metrics;
}

/** Rejects when the address cannot be listened on. */
export async function serveCallers(
  { limits, listen }: EntrySettings,
  { entry, estate, metrics }: Served,
): Promise<CallerServer> {
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
