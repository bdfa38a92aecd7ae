/** Serves the operators' interface on its own address. */
import type { AddressInfo } from "node:net";
import { createAdaptorServer, type ServerType } from "@hono/node-server";
import type { Hono } from "hono";
import { type Address, formatAddress } from "@coltsfootreach/settings";

export interface ManagementServer {
  /** Where it listens, as `IP:port`. */
  readonly address: string;
  close(): Promise<void>;
}

/** Rejects when the address cannot be listened on. */
export async function serveManagement(
  app: Hono,
  { host, port }: Address,
): Promise<ManagementServer> {
  const server = createAdaptorServer({ fetch: app.fetch });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address() as AddressInfo;
  return {
    address: formatAddress({ host, port: bound.port }),
    close: () => closeServer(server),
  };
}

function closeServer(server: ServerType): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    if ("closeIdleConnections" in server) server.closeIdleConnections();
  });
}
