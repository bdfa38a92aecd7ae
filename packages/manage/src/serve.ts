/** Serves the management API on a separate address. */
import type { AddressInfo } from "node:net";
import { createAdaptorServer, type ServerType } from "@hono/node-server";
import type { Hono } from "hono";
import { type Address, formatAddress } from "@coltsfootreach/settings";

export interface ManagementServer {
  /** Listen address as `IP:port`. */
  readonly address: string;
  close(): Promise<void>;
}

/** Starts the server; rejects if it cannot listen on the address. */
export async function serveManagement(
  app: Hono,
  { host, port }: Address,
): Promise<ManagementServer> {
  const server = createAdaptorServer({ fetch: app.fetch });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const listenAddress = server.address() as AddressInfo;
  return {
    address: formatAddress({ host, port: listenAddress.port }),
    close: () => closeServer(server),
  };
}

function closeServer(server: ServerType): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    if ("closeIdleConnections" in server) server.closeIdleConnections();
  });
}
